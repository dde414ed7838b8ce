#include "standins/WeightStore.h"
#include "support/Random.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const TimePoint start{};
static constexpr WeightTransferId first(1);
static constexpr WeightTransferId second(2);

TEST_CASE("transfers share the rate, and one that ends leaves its share to the others")
{
    WeightStore store({.bytesPerSecond = ByteCount(100)});
    CHECK(std::holds_alternative<Done>(store.start(first, ByteCount(100), start)));
    CHECK(std::holds_alternative<Done>(store.start(second, ByteCount(300), start)));
    CHECK(store.takeFinished(start + 1999ms).empty());
    CHECK(store.takeFinished(start + 2s) == std::vector{first});
    CHECK(store.nextFinish() == start + 4s);
    CHECK(store.takeFinished(start + 4s) == std::vector{second});
}

TEST_CASE("a cancelled transfer frees the rate, and one too many is told when to come back")
{
    WeightStore store({.bytesPerSecond = ByteCount(100), .transfersAtOnce = 2});
    CHECK(std::holds_alternative<Done>(store.start(first, ByteCount(200), start)));
    CHECK(std::holds_alternative<Done>(store.start(second, ByteCount(300), start)));
    const auto refused = store.start(WeightTransferId(3), ByteCount(1), start + 1s);
    REQUIRE(std::holds_alternative<WeightStoreBusy>(refused));
    CHECK(std::get<WeightStoreBusy>(refused).retryAfter == 3s);
    store.cancel(second, start + 2s);
    CHECK(store.takeFinished(start + 3s) == std::vector{first});
}

TEST_CASE("no schedule of transfers gets more bytes than the rate allows, and none is lost")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        WeightStore store({.bytesPerSecond = ByteCount(1000), .transfersAtOnce = 8});
        TimePoint now = start;
        std::uint64_t bytes = 0;
        std::size_t started = 0;
        std::size_t finished = 0;
        for (std::uint64_t index = 0; index < 200; ++index) {
            now += Duration(random.below(400'000));
            const ByteCount size(random.below(500));
            if (std::holds_alternative<Done>(store.start(WeightTransferId(index), size, now))) {
                bytes += size.value();
                ++started;
            }
            finished += store.takeFinished(now).size();
        }
        while (const auto next = store.nextFinish()) {
            now = *next;
            finished += store.takeFinished(now).size();
        }
        CHECK(finished == started);
        CHECK(std::chrono::duration<double>(now - start).count() * 1000.0 >= static_cast<double>(bytes));
    }
}
