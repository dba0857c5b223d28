/** @file timeline_source_func.cpp  Reads events from all sources. A source that fails is reported in a note and the
 * others are still read. */
#include "timeline/timeline_source_func.h"

#include <fstream>
#include <functional>
#include <sstream>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include "rpc/control_loop_base.h"
#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::uint32_t EventsPerPage = 1000;
constexpr int MaxPages = 1000;
constexpr auto ControlRpcTimeout = 3000 * kj::MILLISECONDS;
const Poco::Timespan HttpTimeout(3, 0);

TimelineEvent parseEventObject(const Poco::JSON::Object &object)
{
    TimelineEvent event;
    event.time = HybridTime::parse(object.getValue<std::string>("hlc")).value_or(HybridTime{});
    event.wallMs = object.getValue<std::int64_t>("wall_ms");
    event.process = object.getValue<std::string>("process");
    event.kind = object.getValue<std::string>("kind");
    event.level = object.getValue<std::string>("level");
    const Poco::JSON::Object::Ptr fields = object.getObject("fields");
    for (const std::string &name : fields->getNames()) {
        event.fields.emplace_back(name, fields->getValue<std::string>(name));
    }
    return event;
}

void addFailureNote(Timeline &timeline, std::string note)
{
    timeline.partial = true;
    timeline.notes.push_back(std::move(note));
}

/** Reads pages from @p read, which takes the sequence number to continue after, until a page is empty. */
void readAllPages(const std::string &source, Timeline &timeline, const std::function<std::string(std::uint64_t)> &read)
{
    std::uint64_t since = 0;
    for (int pageIndex = 0; pageIndex < MaxPages; ++pageIndex) {
        const Result<EventPage> result = parseEventPage(read(since), timeline.events);
        if (!result) {
            addFailureNote(timeline, source + ": " + result.error().what);
            return;
        }
        if (result->lost) {
            timeline.notes.push_back(
                source + ": older events were dropped from its ring buffer; also read its log file");
        }
        if (result->count == 0) {
            return;
        }
        since = result->nextSince;
    }
    timeline.notes.push_back(source + ": stopped at the page limit; filter by one program, or read again");
}

std::string fetchEventPage(const std::string &address, std::uint64_t since)
{
    Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress{address});
    session.setTimeout(HttpTimeout);
    Poco::Net::HTTPRequest request("GET",
        "/v1/events?since=" + std::to_string(since) + "&limit=" + std::to_string(EventsPerPage),
        Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return body;
}

/** Splits a log line into key=value pairs; values may be quoted and escaped as by logValue(). */
class LogLineReader
{
public:
    explicit LogLineReader(const std::string &text)
        : text(text)
    {
    }

    bool next(std::pair<std::string, std::string> &field)
    {
        this->position = std::min(this->text.find_first_not_of(' ', this->position), this->text.size());
        const std::size_t equals = this->text.find('=', this->position);
        if (equals == std::string::npos) {
            return false;
        }
        field.first = this->text.substr(this->position, equals - this->position);
        this->position = equals + 1;
        const bool quoted = this->position < this->text.size() && this->text[this->position] == '"';
        field.second = quoted ? this->readQuotedValue() : this->readUnquotedValue();
        return true;
    }

private:
    std::string readUnquotedValue()
    {
        const std::size_t end = std::min(this->text.find(' ', this->position), this->text.size());
        std::string value = this->text.substr(this->position, end - this->position);
        this->position = end;
        return value;
    }

    std::string readQuotedValue()
    {
        std::string value;
        for (++this->position; this->position < this->text.size() && this->text[this->position] != '"';
             ++this->position) {
            if (this->text[this->position] == '\\' && this->position + 1 < this->text.size()) {
                const char c = this->text[++this->position];
                value += c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
            } else {
                value += this->text[this->position];
            }
        }
        ++this->position;
        return value;
    }

    const std::string &text; ///< The line to split.
    std::size_t position = 0; ///< Offset of the next character to read.
};

} // namespace

Result<EventPage> parseEventPage(const std::string &json, TimelineEvents &events)
{
    try {
        const auto parsed = Poco::JSON::Parser().parse(json);
        const auto &object = parsed.extract<Poco::JSON::Object::Ptr>();
        const Poco::JSON::Array::Ptr list = object->getArray("events");
        for (unsigned i = 0; i < list->size(); ++i) {
            events.push_back(parseEventObject(*list->getObject(i)));
        }
        return EventPage{object->getValue<std::uint64_t>("next_since"), list->size(), object->getValue<bool>("lost")};
    } catch (const std::exception &) {
        return fail(
            ErrorKind::BadRequest, "the response is not a page of events; give the client address of an entry process");
    }
}

bool parseLogLine(const std::string &line, TimelineEvent &event)
{
    event = TimelineEvent{};
    LogLineReader reader(line);
    std::pair<std::string, std::string> field;
    while (reader.next(field)) {
        if (field.first == "hlc") {
            event.time = HybridTime::parse(field.second).value_or(HybridTime{});
        } else if (field.first == "level") {
            event.level = field.second;
        } else if (field.first == "process") {
            event.process = field.second;
        } else if (field.first == "event") {
            event.kind = field.second;
        } else if (field.first != "time" && field.first != "pid") {
            event.fields.push_back(field);
        }
    }
    event.wallMs = event.time.wallMs;
    return event.time.wallMs > 0 && !event.process.empty() && !event.kind.empty();
}

void readEntryEvents(const std::string &address, Timeline &timeline)
{
    try {
        readAllPages(address, timeline, [&](std::uint64_t since) {
            return fetchEventPage(address, since);
        });
    } catch (const Poco::Exception &exception) {
        addFailureNote(timeline, address + ": can't be read: " + exception.displayText());
    }
}

void readControlEvents(const std::string &secret, const std::vector<std::string> &addresses, Timeline &timeline)
{
    ControlLoop loop(secret, "timeline");
    for (const std::string &address : addresses) {
        RpcLink link(loop.rpc(), address);
        try {
            readAllPages(address, timeline, [&](std::uint64_t since) {
                auto response = link.services().then([since](OfferedServices &&services) {
                    auto request = services.control.eventsRequest();
                    request.setSince(since);
                    request.setLimit(EventsPerPage);
                    return request.send();
                });
                return textOf(loop.wait(loop.kjTimer().timeoutAfter(ControlRpcTimeout, kj::mv(response))).getJson());
            });
        } catch (const kj::Exception &exception) {
            addFailureNote(timeline, address + ": can't be read: " + exception.getDescription().cStr());
        }
    }
}

void readLogFile(const std::string &path, Timeline &timeline)
{
    std::ifstream file(path);
    if (!file) {
        addFailureNote(timeline, path + ": can't be read");
        return;
    }
    std::string line;
    TimelineEvent event;
    while (std::getline(file, line)) {
        if (parseLogLine(line, event)) {
            timeline.events.push_back(event);
        }
    }
}

} // namespace Chestnuthook
