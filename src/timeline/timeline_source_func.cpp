/** @file timeline_source_func.cpp  Sources of events; one that fails is noted and the others are still read. */
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

constexpr std::uint32_t PageEvents = 1000;
constexpr int MaxPages = 1000;
constexpr auto MemberTimeout = 3000 * kj::MILLISECONDS;
const Poco::Timespan HttpTimeout(3, 0);

TimelineEvent eventOf(const Poco::JSON::Object &object)
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

void noteFailure(Timeline &timeline, std::string note)
{
    timeline.partial = true;
    timeline.notes.push_back(std::move(note));
}

/** Reads page after page until one is empty. */
void readPages(const std::string &source, Timeline &timeline, const std::function<std::string(std::uint64_t)> &read)
{
    std::uint64_t since = 0;
    for (int page = 0; page < MaxPages; ++page) {
        const Result<EventPage> found = parseEventPage(read(since), timeline.events);
        if (!found) {
            noteFailure(timeline, source + ": " + found.error().what);
            return;
        }
        if (found->lost) {
            timeline.notes.push_back(source + ": events before these have fallen out of its ring; read its log file");
        }
        if (found->count == 0) {
            return;
        }
        since = found->nextSince;
    }
    timeline.notes.push_back(source + ": more events than are read; follow one program, or read again");
}

std::string getEvents(const std::string &address, std::uint64_t since)
{
    Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress{address});
    session.setTimeout(HttpTimeout);
    Poco::Net::HTTPRequest request("GET",
        "/v1/events?since=" + std::to_string(since) + "&limit=" + std::to_string(PageEvents),
        Poco::Net::HTTPMessage::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return body;
}

/** Splits a line into key=value pairs; values may be quoted as logValue does it. */
class LogLineReader
{
public:
    explicit LogLineReader(const std::string &text)
        : text(text)
    {
    }

    bool next(std::pair<std::string, std::string> &field)
    {
        this->at = std::min(this->text.find_first_not_of(' ', this->at), this->text.size());
        const std::size_t equals = this->text.find('=', this->at);
        if (equals == std::string::npos) {
            return false;
        }
        field.first = this->text.substr(this->at, equals - this->at);
        this->at = equals + 1;
        const bool quoted = this->at < this->text.size() && this->text[this->at] == '"';
        field.second = quoted ? this->readQuoted() : this->readPlain();
        return true;
    }

private:
    std::string readPlain()
    {
        const std::size_t end = std::min(this->text.find(' ', this->at), this->text.size());
        std::string value = this->text.substr(this->at, end - this->at);
        this->at = end;
        return value;
    }

    std::string readQuoted()
    {
        std::string value;
        for (++this->at; this->at < this->text.size() && this->text[this->at] != '"'; ++this->at) {
            if (this->text[this->at] == '\\' && this->at + 1 < this->text.size()) {
                const char c = this->text[++this->at];
                value += c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
            } else {
                value += this->text[this->at];
            }
        }
        ++this->at;
        return value;
    }

    const std::string &text; ///< The line.
    std::size_t at = 0; ///< Of what comes next.
};

} // namespace

Result<EventPage> parseEventPage(const std::string &json, TimelineEvents &events)
{
    try {
        const auto parsed = Poco::JSON::Parser().parse(json);
        const auto &object = parsed.extract<Poco::JSON::Object::Ptr>();
        const Poco::JSON::Array::Ptr list = object->getArray("events");
        for (unsigned i = 0; i < list->size(); ++i) {
            events.push_back(eventOf(*list->getObject(i)));
        }
        return EventPage{object->getValue<std::uint64_t>("next_since"), list->size(), object->getValue<bool>("lost")};
    } catch (const std::exception &) {
        return fail(ErrorKind::BadRequest, "its answer is no page of events; is it an entry's address for callers?");
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
        readPages(address, timeline, [&](std::uint64_t since) {
            return getEvents(address, since);
        });
    } catch (const Poco::Exception &exception) {
        noteFailure(timeline, address + ": can't be read: " + exception.displayText());
    }
}

void readMemberEvents(const std::string &secret, const std::vector<std::string> &addresses, Timeline &timeline)
{
    ControlLoop loop(secret, "timeline");
    for (const std::string &address : addresses) {
        RpcLink link(loop.rpc(), address);
        try {
            readPages(address, timeline, [&](std::uint64_t since) {
                auto asked = link.services().then([since](OfferedServices &&services) {
                    auto request = services.control.eventsRequest();
                    request.setSince(since);
                    request.setLimit(PageEvents);
                    return request.send();
                });
                return textOf(loop.wait(loop.kjTimer().timeoutAfter(MemberTimeout, kj::mv(asked))).getJson());
            });
        } catch (const kj::Exception &exception) {
            noteFailure(timeline, address + ": can't be read: " + exception.getDescription().cStr());
        }
    }
}

void readLogFile(const std::string &path, Timeline &timeline)
{
    std::ifstream file(path);
    if (!file) {
        noteFailure(timeline, path + ": can't be read");
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
