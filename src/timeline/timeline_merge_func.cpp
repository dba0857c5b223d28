/** @file timeline_merge_func.cpp  Sorts and deduplicates events, and filters them by program, customer, endpoint or
 * key. */
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

using FieldPair = std::pair<std::string, std::string>;

constexpr std::array<std::string_view, 2> ProgramLinks = {"attempt", "fingerprint"};
constexpr std::array<std::string_view, 3> CustomerLinks = {"program", "attempt", "fingerprint"};
constexpr std::array<std::string_view, 1> EndpointLinks = {"attempt"};

/** Selects the events related to the seed fields. An event is selected when one of its fields is a known field or when
 *  its parent program is known; the link fields of selected events become known fields in turn. */
class RelatedEventFilter
{
public:
    RelatedEventFilter(std::set<FieldPair> seeds, std::span<const std::string_view> linkNames)
        : knownFields(std::move(seeds))
        , linkNames(linkNames)
    {
    }

    /** Adds related fields until a pass finds no new ones. Several passes are needed because an event can precede the
     *  event that makes one of its fields known. */
    void collectRelatedFields(const TimelineEvents &events)
    {
        std::size_t previousCount = 0;
        while (previousCount != this->knownFields.size()) {
            previousCount = this->knownFields.size();
            for (const TimelineEvent &event : events) {
                if (this->matches(event)) {
                    this->collectLinkFields(event);
                }
            }
        }
    }

    [[nodiscard]] bool matches(const TimelineEvent &event) const
    {
        return std::any_of(event.fields.begin(), event.fields.end(), [this](const FieldPair &field) {
            return this->knownFields.contains(field)
                || (field.first == "parent" && this->knownFields.contains({"program", field.second}));
        });
    }

private:
    void collectLinkFields(const TimelineEvent &event)
    {
        const std::string parent = event.field("parent");
        const bool isChild = !parent.empty() && this->knownFields.contains({"program", parent});
        for (const FieldPair &field : event.fields) {
            const bool isLink =
                std::find(this->linkNames.begin(), this->linkNames.end(), field.first) != this->linkNames.end();
            if (!field.second.empty() && (isLink || (isChild && field.first == "program"))) {
                this->knownFields.insert(field);
            }
        }
    }

    std::set<FieldPair> knownFields; ///< Fields that select an event.
    std::span<const std::string_view> linkNames; ///< Names of fields that identify further related events.
};

TimelineEvents selectRelated(
    const TimelineEvents &events, std::set<FieldPair> seeds, std::span<const std::string_view> linkNames)
{
    RelatedEventFilter relatedFilter(std::move(seeds), linkNames);
    relatedFilter.collectRelatedFields(events);
    TimelineEvents selected;
    std::copy_if(events.begin(), events.end(), std::back_inserter(selected), [&](const TimelineEvent &event) {
        return relatedFilter.matches(event);
    });
    return selected;
}

auto sortKey(const TimelineEvent &event)
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
        return sortKey(left) < sortKey(right);
    });
    const auto areEqual = [](const TimelineEvent &left, const TimelineEvent &right) {
        return sortKey(left) == sortKey(right);
    };
    events.erase(std::unique(events.begin(), events.end(), areEqual), events.end());
}

TimelineEvents filterEvents(const TimelineEvents &events, const TimelineFilter &filter)
{
    TimelineEvents selected = events;
    if (!filter.program.empty()) {
        selected = selectRelated(selected, {{"program", filter.program}}, ProgramLinks);
    }
    if (!filter.customer.empty()) {
        selected = selectRelated(selected, {{"tenant", filter.customer}}, CustomerLinks);
    }
    if (!filter.endpoint.empty()) {
        selected = selectRelated(selected, {{"endpoint", filter.endpoint}}, EndpointLinks);
    }
    if (!filter.keyId.empty()) {
        selected = selectRelated(selected, {{"key", filter.keyId}, {"key_id", filter.keyId}}, CustomerLinks);
    }
    return selected;
}

} // namespace Chestnuthook
