#include "hostlist/HostListCodec.h"
#include "support/Codec.h"

#include <doctest/doctest.h>

using namespace Carawaymill;

TEST_CASE("the host list reads back as it was written")
{
    const HostListRead list{.hosts = {{.host = HostId("a"),
                                       .state = HostListState::Leaving,
                                       .peerAddress = "tcp://127.0.0.1:1",
                                       .failureDomain = FailureDomainId("fukuoka"),
                                       .region = RegionId("kyushu")}},
                            .targets = {{.target = TargetId("t")}}};
    const auto decoded = std::get<HostListRead>(decode<HostListRead>(nlohmann::json(list)));
    CHECK(decoded.hosts == list.hosts);
    CHECK(decoded.targets == list.targets);
    CHECK(std::holds_alternative<DecodeFailure>(decode<HostListRead>(nlohmann::json{{"hosts", 3}})));
}
