/** @file soak_stream.cpp  Splits response bodies into events and compares them with the stream so far. */
#include "support/soak_stream.h"

#include <string_view>
#include <utility>

namespace Chestnuthook::Testing
{

namespace
{

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "\ndata: ";

} // namespace

SoakStream::SoakStream(std::string id, std::size_t events)
    : id(std::move(id))
    , events(events)
{
}

std::string SoakStream::resumeFields() const
{
    return this->received == 0
        ? std::string()
        : "Last-Event-Id: " + std::to_string(this->received) + "\r\nResumes: " + this->firstAttempt + "\r\n";
}

std::string SoakStream::addResponse(const std::string &attempt, const std::string &body)
{
    std::string violation;
    std::string responseVersion;
    std::size_t at = 0;
    for (std::size_t end = body.find(EventEnd); end != std::string::npos; end = body.find(EventEnd, at)) {
        const std::string event = body.substr(at, end - at);
        at = end + EventEnd.size();
        const std::size_t data = event.find(DataField);
        const std::size_t versionStart = data + DataField.size();
        const std::size_t versionEnd = event.find(' ', versionStart);
        const auto letter = static_cast<char>('a' + this->received);
        if (data == std::string::npos || versionEnd == std::string::npos
            || event.substr(0, data) != "id: " + std::to_string(this->received + 1)
            || event.substr(versionEnd) != std::string(" ") + letter + " " + this->id) {
            return "events come in order and once";
        }
        const std::string eventVersion = event.substr(versionStart, versionEnd - versionStart);
        if (this->received == 0) {
            this->version = eventVersion;
            this->firstAttempt = attempt;
        }
        ++this->received;
        this->output += event.substr(versionStart) + "\n";
        responseVersion = responseVersion.empty() ? eventVersion : responseVersion;
        if (violation.empty() && eventVersion != this->version) {
            violation = std::string("a stream holds events of one version (") + this->version + ", then " + eventVersion
                + " from event " + std::to_string(this->received)
                + (eventVersion == responseVersion ? ", resumed by the client)" : ", in one response)");
        }
    }
    return violation;
}

std::size_t SoakStream::countEvents(const std::string &body)
{
    std::size_t count = 0;
    for (std::size_t end = body.find(EventEnd); end != std::string::npos;
         end = body.find(EventEnd, end + EventEnd.size())) {
        ++count;
    }
    return count;
}

} // namespace Chestnuthook::Testing
