/** @file timeline_merge_func.cpp  Merges events and follows one thing through them. */
#include "timeline/timeline_type.h"

#include <algorithm>
#include <array>
#include <set>
#include <span>
#include <string_view>
#include <tuple>

namespace Chestnuthook
{

namespace
{

using Pair = std::pair<std::string, std::string>;

constexpr std::array<std::string_view, 2> ProgramLinks = {"attempt", "fingerprint"};
constexpr std::array<std::string_view, 3> CustomerLinks = {"program", "attempt", "fingerprint"};
constexpr std::array<std::string_view, 1> EndpointLinks = {"attempt"};

/** Follows one value: an event belongs to it when it holds a known pair; its own links then become known. */
class Follower
{
public:
    Follower(std::set<Pair> seeds, std::span<const std::string_view> links)
        : known(std::move(seeds))
        , links(links)
    {
    }

    /** Learns pairs until a pass adds none, since a link may stand in an earlier event than what leads to it. */
    void learn(const TimelineEvents &events)
    {
        std::size_t before = 0;
        while (before != this->known.size()) {
            before = this->known.size();
            for (const TimelineEvent &event : events) {
                if (this->matches(event)) {
                    this->learnFrom(event);
                }
            }
        }
    }

    [[nodiscard]] bool matches(const TimelineEvent &event) const
    {
        return std::any_of(event.fields.begin(), event.fields.end(), [this](const Pair &field) {
            return this->known.contains(field)
                || (field.first == "parent" && this->known.contains({"program", field.second}));
        });
    }

private:
    void learnFrom(const TimelineEvent &event)
    {
        const std::string parent = event.field("parent");
        const bool child = !parent.empty() && this->known.contains({"program", parent});
        for (const Pair &field : event.fields) {
            const bool linked = std::find(this->links.begin(), this->links.end(), field.first) != this->links.end();
            if (!field.second.empty() && (linked || (child && field.first == "program"))) {
                this->known.insert(field);
            }
        }
    }

    std::set<Pair> known; ///< Fields that belong to what is followed.
    std::span<const std::string_view> links; ///< Names of fields that lead on.
};

TimelineEvents keep(const TimelineEvents &events, std::set<Pair> seeds, std::span<const std::string_view> links)
{
    Follower follower(std::move(seeds), links);
    follower.learn(events);
    TimelineEvents kept;
    std::copy_if(events.begin(), events.end(), std::back_inserter(kept), [&](const TimelineEvent &event) {
        return follower.matches(event);
    });
    return kept;
}

auto orderOf(const TimelineEvent &event)
{
    return std::tie(event.time, event.process, event.kind, event.fields);
}

} // namespace

std::string TimelineEvent::field(const std::string &name) const
{
    for (const auto &[fieldName, value] : this->fields) {
        if (fieldName == name) {
            return value;
        }
    }
    return "";
}

void mergeEvents(TimelineEvents &events)
{
    std::sort(events.begin(), events.end(), [](const TimelineEvent &left, const TimelineEvent &right) {
        return orderOf(left) < orderOf(right);
    });
    const auto same = [](const TimelineEvent &left, const TimelineEvent &right) {
        return orderOf(left) == orderOf(right);
    };
    events.erase(std::unique(events.begin(), events.end(), same), events.end());
}

TimelineEvents followEvents(const TimelineEvents &events, const TimelineFilter &filter)
{
    TimelineEvents kept = events;
    if (!filter.program.empty()) {
        kept = keep(kept, {{"program", filter.program}}, ProgramLinks);
    }
    if (!filter.customer.empty()) {
        kept = keep(kept, {{"tenant", filter.customer}}, CustomerLinks);
    }
    if (!filter.endpoint.empty()) {
        kept = keep(kept, {{"endpoint", filter.endpoint}}, EndpointLinks);
    }
    if (!filter.keyId.empty()) {
        kept = keep(kept, {{"key", filter.keyId}, {"key_id", filter.keyId}}, CustomerLinks);
    }
    return kept;
}

} // namespace Chestnuthook
