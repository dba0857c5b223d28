/** @file id_type.h  Strong id types: ids of different things do not convert into each other. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Chestnuthook
{

/** An id that wraps a text; @p Tag keeps ids of different things apart. */
template<typename Tag>
struct TextId
{
    std::string text; ///< The id as it is shown to people and sent between processes.

    TextId() = default;
    explicit TextId(std::string value)
        : text(std::move(value))
    {
    }

    [[nodiscard]] bool empty() const
    {
        return this->text.empty();
    }
    auto operator<=>(const TextId &) const = default;
};

/** An id that wraps a number; @p Tag keeps ids of different things apart. */
template<typename Tag, typename Number = std::uint64_t>
struct NumberId
{
    Number value = 0; ///< The raw number.

    NumberId() = default;
    constexpr explicit NumberId(Number number)
        : value(number)
    {
    }
    auto operator<=>(const NumberId &) const = default;
};

using CustomerId = TextId<struct CustomerTag>; ///< A customer of the operator.
using KeyId = TextId<struct KeyTag>; ///< Names a caller's key; not the key itself.
using EntryId = TextId<struct EntryTag>; ///< One entry instance's process identity.
using EndpointId = TextId<struct EndpointTag>; ///< A back end: engine replica or service replica, `ip:port`.
using ServiceId = TextId<struct ServiceTag>; ///< A plain service by name.
using ModelId = TextId<struct ModelTag>; ///< A model by name.
using DataCentreId = TextId<struct DataCentreTag>; ///< A data centre by name.
using ProgramId = TextId<struct ProgramTag>; ///< An agent program; its slot is a function of this id.
using AttemptId = TextId<struct AttemptTag>; ///< One try of one call at one endpoint; never reused.
using RequestId = TextId<struct RequestTag>; ///< Names an operator's or caller's request, so that a resend is seen.

using SlotId = NumberId<struct SlotTag, std::uint16_t>; ///< One of SlotCount shares of all programs.
using Epoch = NumberId<struct EpochTag>; ///< Grows with each change of a slot's owner.
using Revision = NumberId<struct RevisionTag>; ///< Revision of the fleet state: its log index.
using CallNumber = NumberId<struct CallTag, std::uint32_t>; ///< Position of a call in its program, from 1.

} // namespace Chestnuthook

template<typename Tag>
struct std::hash<Chestnuthook::TextId<Tag>>
{
    std::size_t operator()(const Chestnuthook::TextId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text);
    }
};

template<typename Tag, typename Number>
struct std::hash<Chestnuthook::NumberId<Tag, Number>>
{
    std::size_t operator()(const Chestnuthook::NumberId<Tag, Number> &id) const noexcept
    {
        return std::hash<Number>{}(id.value);
    }
};
