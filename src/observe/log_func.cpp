/** @file log_func.cpp  Writes event lines with Boost.Log; the only file that includes Boost.Log. */
#include "observe/log_func.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>
#include <stdexcept>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <unistd.h>

namespace Chestnuthook
{

namespace
{

constexpr std::size_t MaxQueuedLines = 16384; ///< Per sink; further lines are dropped if the output is too slow.

using Sink = boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<MaxQueuedLines, boost::log::sinks::drop_on_overflow>>;

/** Logging state of the process. Never destroyed, because threads may log until the process exits. */
struct LoggingState
{
    std::mutex clockMutex; ///< Guards `clock`.
    HybridClock clock; ///< Hybrid logical clock of the process.
    std::string process = "chestnuthook"; ///< Process name and instance; set before threads start.
    EventRing ring; ///< Latest events of the process.
    std::atomic<EventLevel> level{EventLevel::Info}; ///< Lowest level that is written to the log.
    std::atomic<bool> started{false}; ///< The log sinks are set up.
};

LoggingState &loggingState()
{
    static LoggingState *const Instance = new LoggingState;
    return *Instance;
}

void addSink(const boost::shared_ptr<std::ostream> &stream)
{
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(stream);
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

template<typename Fields>
void record(EventKind kind, const Fields &fields)
{
    LoggingState &state = loggingState();
    Event event;
    event.wallMs = wallMsNow();
    event.hybridTime = hybridNow();
    event.process = state.process;
    event.kind = kind;
    event.fields.reserve(fields.size());
    for (const Field &field : fields) {
        event.fields.emplace_back(std::string(field.name), loggedText(field.value));
    }
    if (state.started && eventLevel(kind) >= state.level) {
        const std::string line = formatEvent(event, static_cast<int>(getpid()));
        thread_local boost::log::sources::logger logger;
        BOOST_LOG(logger) << line;
    }
    state.ring.append(std::move(event));
}

} // namespace

void initObserve(std::string_view processName, std::string_view instance, const std::string &logFile)
{
    LoggingState &state = loggingState();
    if (state.started) {
        throw std::logic_error("initObserve was called more than once");
    }
    boost::shared_ptr<std::ofstream> file;
    if (!logFile.empty()) {
        file = boost::make_shared<std::ofstream>(logFile, std::ios::app);
        if (!*file) {
            throw std::runtime_error("the log file " + logFile + " can't be opened");
        }
    }
    state.process = std::string(processName);
    if (!instance.empty()) {
        state.process += "/" + std::string(instance);
    }
    addSink(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    if (file) {
        addSink(file);
    }
    state.started = true;
    std::atexit(flushObserve);
}

void flushObserve()
{
    if (loggingState().started) {
        boost::log::core::get()->flush();
    }
}

void setLogLevel(EventLevel level)
{
    loggingState().level = level;
}

void logEvent(EventKind kind, std::initializer_list<Field> fields)
{
    record(kind, fields);
}

void logEvent(EventKind kind, const std::vector<Field> &fields)
{
    record(kind, fields);
}

void logIfSlow(std::string_view what, Duration duration)
{
    if (duration >= SlowOperationThreshold) {
        logEvent(
            EventKind::SlowOperation, {{"what", std::string(what)}, {"ms", std::to_string(duration.count() / 1000)}});
    }
}

EventRing &processEvents()
{
    return loggingState().ring;
}

HybridTime hybridNow()
{
    LoggingState &state = loggingState();
    const std::lock_guard lock(state.clockMutex);
    return state.clock.tick(wallMsNow());
}

void hybridObserve(const HybridTime &remote)
{
    LoggingState &state = loggingState();
    const std::lock_guard lock(state.clockMutex);
    state.clock.observe(remote, wallMsNow());
}

std::int64_t wallMsNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string loggedText(std::string_view value)
{
    if (value.size() <= MaxLoggedBytes) {
        return std::string(value);
    }
    return std::string(value.substr(0, MaxLoggedBytes)) + "...(" + std::to_string(value.size()) + " bytes)";
}

std::string formatEvent(const Event &event, int pid)
{
    std::string line = "time=" + isoTime(event.wallMs) + " hlc=" + event.hybridTime.toText()
        + " level=" + std::string(nameOf(eventLevel(event.kind))) + " process=" + logValue(event.process)
        + " pid=" + std::to_string(pid) + " event=" + std::string(nameOf(event.kind));
    for (const auto &[name, value] : event.fields) {
        line += " " + name + "=" + logValue(value);
    }
    return line;
}

std::string logValue(std::string_view value)
{
    const auto isPlain = [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte > 0x20 && byte != 0x7f && c != '"' && c != '\'' && c != '=' && c != '\\';
    };
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        } else if (c == '\n') {
            quoted += "\\n";
        } else if (c == '\r') {
            quoted += "\\r";
        } else if (c == '\t') {
            quoted += "\\t";
        } else if (byte < 0x20 || byte == 0x7f) {
            std::array<char, 8> escape{};
            std::snprintf(escape.data(), escape.size(), "\\x%02x", static_cast<unsigned int>(byte));
            quoted += escape.data();
        } else {
            quoted += c;
        }
    }
    quoted += '"';
    return quoted;
}

std::string isoTime(std::int64_t wallMs)
{
    constexpr std::int64_t MsPerSecond = 1000;
    const std::int64_t ms = ((wallMs % MsPerSecond) + MsPerSecond) % MsPerSecond;
    const auto seconds = static_cast<std::time_t>((wallMs - ms) / MsPerSecond);
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    std::array<char, 32> dateTime{};
    std::strftime(dateTime.data(), dateTime.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%s.%03dZ", dateTime.data(), static_cast<int>(ms));
    return text.data();
}

} // namespace Chestnuthook
