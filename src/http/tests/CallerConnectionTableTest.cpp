#include "http/CallerConnectionTable.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

static const TimePoint start{1h};

/// A table with one listener and room for 1,000 bytes.
struct TableFixture
{
    ConnectionNumber reading(std::size_t bytes, TimePoint at)
    {
        const ConnectionNumber connection = table.add(listener, at);
        table.update(connection, ConnectionPhase::Reading, bytes, at);
        return connection;
    }

    CallerConnectionTable table{{.memoryLimit = ByteCount(1000)}};
    ListenerNumber listener = table.addListener();
};

// Many callers that stop short of the end of its bodies must not cost an ordinary caller its request.
TEST_CASE("a connection that has stopped is evicted before a larger one that is still sending")
{
    TableFixture fixture;
    const ConnectionNumber stopped = fixture.reading(400, start);
    fixture.reading(300, start + 1s);
    CHECK(!fixture.table.excess(start + 1s));
    const ConnectionNumber sending = fixture.reading(500, start + 1s);
    CHECK(fixture.table.excess(start + 1s) == stopped);
    fixture.table.remove(stopped);
    CHECK(!fixture.table.excess(start + 1s));
    fixture.table.update(sending, ConnectionPhase::Reading, 800, start + 1s);
    CHECK(fixture.table.excess(start + 1s) == sending);
}

TEST_CASE("a request that has been read is never evicted for another one")
{
    TableFixture fixture;
    const ConnectionNumber busy = fixture.reading(900, start);
    fixture.table.update(busy, ConnectionPhase::InProgress, 1800, start);
    CHECK(fixture.table.isFilledByRequestsInProgress());
    CHECK(!fixture.table.excess(start + 10s));
    CHECK(!fixture.table.mayReadAhead());
    const ConnectionNumber next = fixture.reading(10, start + 10s);
    CHECK(fixture.table.excess(start + 10s) == next);
    fixture.table.remove(busy);
    CHECK(fixture.table.held() == ByteCount(10));
}

TEST_CASE("a new connection replaces the one that stopped first and none that has a request or waits for its next one")
{
    TableFixture fixture;
    const ConnectionNumber unused = fixture.table.add(fixture.listener, start);
    const ConnectionNumber unfinished = fixture.reading(10, start + 100ms);
    const ConnectionNumber idle = fixture.reading(10, start);
    fixture.table.update(idle, ConnectionPhase::Idle, 0, start);
    CHECK(!fixture.table.replaceable(fixture.listener, start + 900ms));
    CHECK(fixture.table.replaceable(fixture.listener, start + 2s) == unused);
    fixture.table.remove(unused);
    CHECK(fixture.table.replaceable(fixture.listener, start + 2s) == unfinished);
    fixture.table.update(unfinished, ConnectionPhase::InProgress, 10, start + 2s);
    CHECK(!fixture.table.replaceable(fixture.listener, start + 20s));
    CHECK(!fixture.table.replaceable(fixture.table.addListener(), start + 20s));
}
