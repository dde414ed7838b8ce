#include "history/Violations.h"

#include "support/Variant.h"

#include <sstream>

namespace Carawaymill {

template<typename... Parts>
static std::string line(const Parts &...parts)
{
    std::ostringstream text;
    text << "History: ";
    (text << ... << parts);
    return text.str();
}

static double seconds(TimePoint at)
{
    return std::chrono::duration<double>(at.time_since_epoch()).count();
}

static std::string name(const std::variant<HostId, TargetId> &who)
{
    return std::visit([](const auto &id) { return id.value(); }, who);
}

std::string describe(const Violation &violation)
{
    return std::visit(
        Overloaded{
            [](const LayersOutOfOrder &it) {
                return line("layer ", it.layer, " out of order at ", it.position, " in stream ", it.stream);
            },
            [](const LayerNotRun &it) {
                return line("request ", it.request, " answered without layer ", it.layer, " at ", it.position);
            },
            [](const WrongAnswer &it) { return line("request ", it.request, " got a wrong answer"); },
            [](const FragmentGiven &it) { return line("request ", it.request, " got a fragment"); },
            [](const AnswerOfOtherRequest &it) { return line("request ", it.request, " got another's answer"); },
            [](const RequestLost &it) { return line("request ", it.request, " was never answered"); },
            [](const RanAfterAll &it) { return line("request ", it.request, " ran, and was said not to have"); },
            [](const RanTwice &it) { return line("request ", it.request, " ran ", it.runs, " times"); },
            [](const WorkAfterDeparture &it) {
                return line(name(it.who), " got new work at ", seconds(it.at), " s although it leaves");
            },
            [](const CutByShutdown &it) { return line("request ", it.request, " was cut by a graceful shutdown"); },
            [](const EditLate &it) { return line(it.key, " revision ", it.revision, " was late on ", it.host); },
            [](const RevisionReverted &it) {
                return line(it.key, " went back from ", it.from, " to ", it.to, " on ", it.host);
            },
            [](const EditsBothAccepted &it) {
                return line("two edits of ", it.key, " revision ", it.expected, " were accepted");
            },
            [](const RevisionAmbiguous &it) {
                return line(it.key, " revision ", it.revision, " differs between hosts");
            },
            [](const LimitPassed &it) {
                return line(it.organisation, " had ", it.admitted, " requests admitted of ", it.allowed, " allowed");
            },
            [](const WronglyBilled &it) {
                return line(it.organisation, " was billed ", it.billed, " jobs of ", it.answered, " answered");
            }},
        violation);
}

} // namespace Carawaymill
