#include "routing/PrefixTable.h"

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

namespace Carawaymill {

namespace {

namespace Index = boost::multi_index;

/// Refers to targets by number, since their names would take most of the memory.
struct Entry
{
    std::uint32_t target = 0;
    std::uint32_t tokens = 0;
    std::uint64_t fingerprint = 0;
    std::optional<TimePoint> assumedUntil;
};

using EntryContainer = boost::multi_index_container<
    Entry,
    Index::indexed_by<
        Index::sequenced<>,
        Index::hashed_unique<Index::composite_key<Entry,
                                                  Index::member<Entry, std::uint32_t, &Entry::target>,
                                                  Index::member<Entry, std::uint64_t, &Entry::fingerprint>>>,
        Index::hashed_non_unique<Index::member<Entry, std::uint64_t, &Entry::fingerprint>>,
        Index::hashed_non_unique<Index::member<Entry, std::uint32_t, &Entry::target>>>>;

enum EntryOrder {
    ByAge,
    ByTargetAndFingerprint,
    ByFingerprint,
    ByTarget,
};

} // namespace

struct PrefixTable::Entries
{
    EntryContainer container;
    std::vector<TargetId> targets;
    std::unordered_map<TargetId, std::uint32_t> numbers;
};

PrefixTable::PrefixTable(std::size_t maximumEntries)
    : m_maximumEntries(maximumEntries)
    , m_entries(std::make_unique<Entries>())
{
}

PrefixTable::~PrefixTable() = default;
PrefixTable::PrefixTable(PrefixTable &&) noexcept = default;
PrefixTable &PrefixTable::operator=(PrefixTable &&) noexcept = default;

void PrefixTable::store(const PrefixTableEntry &tableEntry)
{
    const auto [number, added] = m_entries->numbers.try_emplace(tableEntry.target, m_entries->targets.size());
    if (added) {
        m_entries->targets.push_back(tableEntry.target);
    }
    Entry entry{.target = number->second,
                .tokens = static_cast<std::uint32_t>(tableEntry.prefix.tokens.value()),
                .fingerprint = tableEntry.prefix.fingerprint.value(),
                .assumedUntil = tableEntry.assumedUntil};
    auto &byAge = m_entries->container.get<ByAge>();
    auto &unique = m_entries->container.get<ByTargetAndFingerprint>();
    if (const auto found = unique.find(std::make_tuple(entry.target, entry.fingerprint)); found != unique.end()) {
        if (!found->assumedUntil) {
            entry.assumedUntil = std::nullopt;
        }
        byAge.relocate(byAge.end(), m_entries->container.project<ByAge>(found));
        unique.replace(found, entry);
        return;
    }
    byAge.push_back(entry);
    if (byAge.size() > m_maximumEntries) {
        byAge.pop_front();
    }
}

void PrefixTable::evict(const TargetId &target, PrefixFingerprint fingerprint)
{
    if (const auto number = m_entries->numbers.find(target); number != m_entries->numbers.end()) {
        auto &unique = m_entries->container.get<ByTargetAndFingerprint>();
        if (const auto found = unique.find(std::make_tuple(number->second, fingerprint.value()));
            found != unique.end()) {
            unique.erase(found);
        }
    }
}

void PrefixTable::evictAll(const TargetId &target)
{
    if (const auto number = m_entries->numbers.find(target); number != m_entries->numbers.end()) {
        m_entries->container.get<ByTarget>().erase(number->second);
    }
}

std::vector<PrefixHit> PrefixTable::holders(PrefixFingerprint fingerprint, TimePoint now) const
{
    std::vector<PrefixHit> hits;
    const auto [begin, end] = m_entries->container.get<ByFingerprint>().equal_range(fingerprint.value());
    for (auto entry = begin; entry != end; ++entry) {
        if (!entry->assumedUntil || now < *entry->assumedUntil) {
            hits.push_back({.target = m_entries->targets[entry->target], .tokens = TokenCount(entry->tokens)});
        }
    }
    return hits;
}

std::size_t PrefixTable::size() const
{
    return m_entries->container.size();
}

} // namespace Carawaymill
