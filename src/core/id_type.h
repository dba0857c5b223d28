/** @file id_type.h  Strong id types: ids of different kinds do not convert into each other. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Chestnuthook
{

/** An id that wraps a text; @p Tag makes ids of different kinds distinct types. */
template<typename Tag>
struct TextId
{
    std::string text; ///< The id as shown to people and sent between processes.

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

/** An id that wraps a number; @p Tag makes ids of different kinds distinct types. */
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
using KeyId = TextId<struct KeyTag>; ///< Identifies a client's key without disclosing it.
using EntryId = TextId<struct EntryTag>; ///< Process identity of an entry instance.
using EndpointId = TextId<struct EndpointTag>; ///< A back end (engine or service replica) as `ip:port`.
using ServiceId = TextId<struct ServiceTag>; ///< Name of a plain service.
using ModelId = TextId<struct ModelTag>; ///< Name of a model.
using DataCentreId = TextId<struct DataCentreTag>; ///< Name of a data centre.
using ProgramId = TextId<struct ProgramTag>; ///< An agent program; its slot is derived from this id.
using AttemptId = TextId<struct AttemptTag>; ///< One attempt of a call at one endpoint; never reused.
using RequestId = TextId<struct RequestTag>; ///< Identifies a request so that a resend of it is recognised.

using SlotId = NumberId<struct SlotTag, std::uint16_t>; ///< One of SlotCount partitions of all programs.
using Epoch = NumberId<struct EpochTag>; ///< Incremented with each change of a slot's owner.
using Revision = NumberId<struct RevisionTag>; ///< Revision of the fleet state, which is its log index.
using CallNumber = NumberId<struct CallTag, std::uint32_t>; ///< Position of a call in its program, starting at 1.

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
