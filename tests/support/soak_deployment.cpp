/** @file soak_deployment.cpp  Starts the processes of the soak test and answers as its endpoints. */
#include "support/soak_deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <thread>

#include <sys/resource.h>

#include <Poco/Exception.h>

#include "support/connection_owner.h"

namespace Chestnuthook::Testing
{

namespace
{

constexpr std::size_t MemberCount = 3; ///< Number of control members, and of history members.
constexpr int DaemonNetwork = 1; ///< Third number of the addresses that daemons announce.
constexpr int InnerNetwork = 2; ///< Third number of the addresses at which they listen behind a proxy.
constexpr int FirstControlHost = 1; ///< Last number of the addresses of control members.
constexpr int FirstHistoryHost = 11; ///< Last number of the addresses of history members.
constexpr int FirstGatewayHost = 21; ///< Last number of the addresses of gateways.
constexpr std::size_t LostResponseInterval = 40; ///< One in this many responses is lost by the endpoint.
constexpr std::size_t UnframedInterval = 6; ///< One in this many responses has neither a length nor chunks.
constexpr std::size_t CutStreamInterval = 4; ///< One in this many runs of a resumable stream breaks off.
constexpr std::size_t MinResumableEvents = 4;
constexpr std::size_t MaxResumableEvents = 10;
constexpr const char *EventStreamField = "Content-Type: text/event-stream\r\n";
constexpr std::size_t MaxSlowEvents = 9; ///< Most events of a slow stream.
constexpr std::size_t MaxPausesPerEvent = 4; ///< Most pauses between two events of a slow stream.

std::size_t hashOf(const std::string &id)
{
    return std::hash<std::string>()(id);
}

/** Whether the response to the request @p id ends with its connection. */
bool hasNoLength(const std::string &id)
{
    return hashOf("length" + id) % UnframedInterval == 0;
}

std::string eventOf(std::size_t number, const std::string &id, const std::string &version = "")
{
    const auto letter = static_cast<char>('a' + number - 1);
    return "id: " + std::to_string(number) + "\ndata: " + version + letter + " " + id + "\n\n";
}

std::string ipOf(int network, int host)
{
    return "127.0." + std::to_string(network) + "." + std::to_string(host);
}

bool isStreamPath(const std::string &path)
{
    return path.starts_with("/turn/") || path.starts_with("/slow/");
}

} // namespace

SoakEndpoint::SoakEndpoint(std::string id, std::string version)
    : id(std::move(id))
    , version(std::move(version))
    , server("127.0.0.1",
          [this](const std::string &head, const std::string &body) {
              return this->answer(head, body);
          })
    , address(this->server.address)
{
}

std::vector<SoakEndpoint::Run> SoakEndpoint::runsOf(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    return this->runs[id];
}

std::size_t SoakEndpoint::mostInWindow(Clock::time_point start, Clock::time_point end, Clock::duration window)
{
    std::vector<Clock::time_point> times;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[requestId, list] : this->runs) {
            for (const Run &run : list) {
                if (run.start >= start && run.start < end) {
                    times.push_back(run.start);
                }
            }
        }
    }
    std::ranges::sort(times);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::string SoakEndpoint::responseBody(const std::string &path, const std::string &id)
{
    if (path.starts_with("/turn/")) {
        return eventOf(1, id) + eventOf(2, id);
    }
    if (!path.starts_with("/slow/")) {
        return "ran " + id;
    }
    const std::size_t hash = hashOf(id);
    const std::size_t events = 2 + hash % (MaxSlowEvents - 1);
    const std::size_t pauses = 1 + hash / MaxSlowEvents % MaxPausesPerEvent;
    std::string body = eventOf(1, id);
    for (std::size_t number = 2; number <= events; ++number) {
        for (std::size_t i = 0; i < pauses; ++i) {
            body += PauseMark;
        }
        body += eventOf(number, id);
    }
    return body;
}

std::string SoakEndpoint::answer(const std::string &head, const std::string &body)
{
    const std::string requestId = fieldOf(head, "X-Request-Id");
    if (fieldOf(head, "X-Expected-Instance") != this->id) {
        return "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n";
    }
    const std::size_t pathStart = head.find(' ') + 1;
    const std::string path = head.substr(pathStart, head.find(' ', pathStart) - pathStart);
    const bool isResumable = path.starts_with("/resume/") || path.starts_with("/keep/");
    const unsigned limit = this->limitPerSecond;
    std::string fields = isResumable || isStreamPath(path) ? EventStreamField : "";
    fields += limit == 0 ? "" : "Server-Limit: " + std::to_string(limit) + "\r\n";
    std::string response = isResumable ? this->resumableResponse(head, body, fields)
                                       : signedResponse(head, responseBody(path, requestId), fields);
    const bool isLost = hashOf(requestId) % LostResponseInterval == 0;
    const Clock::time_point start = Clock::now();
    {
        const std::lock_guard lock(this->mutex);
        this->runs[requestId].push_back({body, start, start + ExecutionTime + pauseTimeOf(response), isLost});
    }
    std::this_thread::sleep_for(ExecutionTime);
    if (isLost) {
        return std::string(CloseMark); // The request has run, but the response is lost.
    }
    return hasNoLength(requestId) ? withoutLength(std::move(response)) : response;
}

std::size_t SoakEndpoint::resumableEvents(const std::string &stream)
{
    return MinResumableEvents + hashOf(stream) % (MaxResumableEvents - MinResumableEvents + 1);
}

std::string SoakEndpoint::resumableResponse(
    const std::string &head, const std::string &stream, const std::string &fields) const
{
    const std::string last = fieldOf(head, "Last-Event-Id");
    const std::size_t first = last.empty() ? 1 : std::stoul(last) + 1;
    const std::size_t events = resumableEvents(stream);
    const std::string requestId = fieldOf(head, "X-Request-Id");
    const std::size_t hash = hashOf(requestId + last);
    const bool breaksOff = hash % CutStreamInterval == 0 && first <= events;
    const std::size_t lastNumber = breaksOff ? first + hash / CutStreamInterval % (events - first + 1) : 0;
    std::string content;
    std::size_t unsentBytes = 0;
    for (std::size_t number = first; number <= events; ++number) {
        const std::string event = eventOf(number, stream, this->version + " ");
        content.append(PauseMark).append(event);
        // Without a length, a stream that breaks off between two events would look whole.
        const std::size_t maxUnsent = event.size() - (hasNoLength(requestId) ? 1 : 0);
        unsentBytes = number == lastNumber ? 1 + hash % maxUnsent : unsentBytes + PauseMark.size() + event.size();
    }
    const std::string response = signedResponse(head, content, fields);
    return breaksOff ? truncateAndClose(response, unsentBytes) : response;
}

SoakDeployment::SoakDeployment(std::size_t gateways, const EndpointVersions &versions, InnerLinks links)
    : platform("127.0.0.1",
        [this](const std::string & /*head*/, const std::string & /*body*/) {
            const std::string list = this->endpointList();
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
        })
    , processIds(2 * MemberCount + gateways)
{
    std::signal(SIGXFSZ, SIG_IGN); // Inherited: writes of a process with a full disk fail instead of ending it.
    for (const auto &[version, count] : versions) {
        for (std::size_t i = 0; i < count; ++i) {
            SoakEndpoint &endpoint = this->addEndpoint(version);
            const std::lock_guard lock(this->listMutex);
            this->listed.push_back({&endpoint, &this->endpointLinks.emplace_back(endpoint.address)});
        }
    }
    std::vector<std::string> ips;
    for (const int network : {DaemonNetwork, InnerNetwork}) {
        for (int i = 0; i < static_cast<int>(MemberCount); ++i) {
            ips.push_back(ipOf(network, FirstControlHost + i));
            ips.push_back(ipOf(network, FirstHistoryHost + i));
        }
        for (int i = 0; i < static_cast<int>(gateways); ++i) {
            ips.push_back(ipOf(network, FirstGatewayHost + i));
        }
    }
    const unsigned short rpcPort = reserveCommonPort(ips);
    const auto add = [&](const std::string &program, int host, const std::string &listen) {
        PlatformInstance instance;
        instance.program = program;
        instance.name = program + "-" + std::to_string(host);
        instance.ip = ipOf(DaemonNetwork, host);
        instance.listen = listen;
        instance.rpcPort = rpcPort;
        instance.seeds = {"127.0.1.1:1", "127.0.1.2:1", "127.0.1.3:1"};
        instance.platformAddress = this->platform.address;
        instance.toleratedFailures = 1;
        instance.gracePeriodSeconds = static_cast<unsigned>(GracePeriod.count());
        if (links == InnerLinks::Proxied) {
            const std::string announced = instance.ip + ":" + std::to_string(rpcPort);
            const std::string inner = ipOf(InnerNetwork, host) + ":" + std::to_string(rpcPort);
            instance.listen += (instance.listen.empty() ? R"("rpc":")" : R"(,"rpc":")") + inner + "\"";
            this->innerLinks.emplace_back(announced, inner, [this, announced](const std::string &callerAddress) {
                return this->findCaller(callerAddress, announced);
            });
        }
        this->instances.push_back(instance);
    };
    for (int host = FirstControlHost; host < FirstControlHost + int{MemberCount}; ++host) {
        this->operatorAddresses.push_back(reserveAddress(ipOf(DaemonNetwork, host)));
        add("deployment", host, R"("control":")" + this->operatorAddresses.back() + "\"");
    }
    for (int host = FirstHistoryHost; host < FirstHistoryHost + int{MemberCount}; ++host) {
        add("history", host, "");
    }
    for (int host = FirstGatewayHost; host < FirstGatewayHost + static_cast<int>(gateways); ++host) {
        const std::string ip = ipOf(DaemonNetwork, host);
        this->clientAddresses.push_back(reserveAddress(ip));
        add("gateway", host,
            R"("front":")" + this->clientAddresses.back() + R"(","ready":")" + reserveAddress(ip) + "\"");
        this->instances.back().endpointSource = ip;
        this->clientLinks.emplace_back(this->clientAddresses.back());
    }
    this->processes.resize(this->instances.size());
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        this->start(i, true);
    }
}

SoakEndpoint &SoakDeployment::addEndpoint(const std::string &version)
{
    return this->endpoints.emplace_back("i-" + std::to_string(this->endpoints.size()), version);
}

std::string SoakDeployment::endpointList()
{
    const std::lock_guard lock(this->listMutex);
    std::string entries;
    for (const ListedEndpoint &entry : this->listed) {
        entries += (entries.empty() ? R"({"id":")" : R"(,{"id":")") + entry.endpoint->id
            + R"(","service":"app","addr":")" + entry.link->address + R"(","zone":"z","version":")"
            + entry.endpoint->version + R"(","slots":8,"state":")" + (entry.isDraining ? "draining" : "ready")
            + R"("})";
    }
    return R"({"instances":[)" + entries + R"(],"nextToken":null})";
}

std::string SoakDeployment::beginRelease(const std::string &version, bool reusesAddress)
{
    std::string drainingId;
    {
        const std::lock_guard lock(this->listMutex);
        const auto entry = std::ranges::find_if(this->listed, [&version](const ListedEndpoint &candidate) {
            return !candidate.isDraining && candidate.endpoint->version != version;
        });
        if (entry == this->listed.end()) {
            return drainingId;
        }
        entry->isDraining = true;
        drainingId = entry->endpoint->id;
    }
    if (!reusesAddress) {
        SoakEndpoint &endpoint = this->addEndpoint(version);
        FaultyLink &link = this->endpointLinks.emplace_back(endpoint.address);
        const std::lock_guard lock(this->listMutex);
        this->listed.push_back({&endpoint, &link});
    }
    return drainingId;
}

void SoakDeployment::endRelease(const std::string &id, const std::string &version, bool reusesAddress)
{
    SoakEndpoint *successor = reusesAddress ? &this->addEndpoint(version) : nullptr;
    const std::lock_guard lock(this->listMutex);
    const auto entry = std::ranges::find_if(this->listed, [&id](const ListedEndpoint &candidate) {
        return candidate.endpoint->id == id;
    });
    entry->link->setTarget(successor == nullptr ? std::string() : successor->address);
    if (successor == nullptr) {
        this->listed.erase(entry);
    } else {
        *entry = {successor, entry->link};
    }
}

std::size_t SoakDeployment::readyEndpoints(const std::string &version)
{
    const std::lock_guard lock(this->listMutex);
    return static_cast<std::size_t>(std::ranges::count_if(this->listed, [&version](const ListedEndpoint &entry) {
        return !entry.isDraining && entry.endpoint->version == version;
    }));
}

void SoakDeployment::cutOff(const std::set<std::size_t> &gateways)
{
    std::vector<std::string> sources;
    sources.reserve(gateways.size());
    for (const std::size_t gateway : gateways) {
        sources.push_back(this->instances[this->processOfGateway(gateway)].endpointSource);
    }
    for (FaultyLink &link : this->endpointLinks) {
        link.cutOff(sources);
    }
}

void SoakDeployment::start(std::size_t process, bool isBootstrap)
{
    this->instances[process].isBootstrap = isBootstrap;
    this->processes[process] = startInstance(this->instances[process], this->folder.path);
    this->processIds[process] = this->processes[process]->pid;
}

void SoakDeployment::loseDisk(std::size_t process)
{
    this->processes[process]->signal(SIGKILL);
    this->processes[process]->wait();
    std::filesystem::remove_all(this->folder.path + "/" + this->instances[process].name + "-data");
}

void SoakDeployment::setDiskFull(std::size_t process, bool isFull)
{
    if (!this->processes[process]->isRunning()) {
        return;
    }
    rlimit limit{};
    ::prlimit(this->processes[process]->pid, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = isFull ? 0 : limit.rlim_max;
    ::prlimit(this->processes[process]->pid, RLIMIT_FSIZE, &limit, nullptr);
}

std::size_t SoakDeployment::findCaller(const std::string &callerAddress, const std::string &address) const
{
    return findConnectionOwner({this->processIds.begin(), this->processIds.end()}, callerAddress, address)
        .value_or(FaultyLink::AnyCaller);
}

void SoakDeployment::startEnded()
{
    for (std::size_t i = 0; i < this->processes.size(); ++i) {
        if (!this->processes[i]->isRunning()) {
            this->start(i);
        }
    }
}

bool SoakDeployment::putConfiguration(unsigned version, const std::string &key, std::chrono::seconds retention) const
{
    const auto route = [](const std::string &name, const std::string &rest) {
        return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name + R"(/","kind":)" + rest
            + R"(,"timeoutMs":2000,"targetLatencyMs":100,"service":"app"})";
    };
    const std::string document = R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
        + route("safe", R"("safe","maxAttempts":2)") + "," + route("unsafe", R"("unsafe","maxAttempts":2)") + ","
        + route("slow", R"("stream","maxAttempts":1)") + ","
        + route("resume", R"("stream","maxAttempts":3,"resumable":true)") + ","
        + route("turn", R"("stream","maxAttempts":1,"retain":true,"retentionS":)" + std::to_string(retention.count()))
        + ","
        + route("keep",
            R"("stream","maxAttempts":3,"resumable":true,"retain":true,"retentionS":)"
                + std::to_string(retention.count()))
        + R"(],"services":[{"name":"app","engine":{"stride":10}}],"tenants":[{"name":"glue","apiKeys":["always",")"
        + key + R"("],"ratePerS":2000,"burst":2000}]})";
    for (const std::string &address : this->operatorAddresses) {
        try {
            const std::string bytes = sendRawRequest(address,
                "POST /-/config/put HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                    + std::to_string(document.size()) + "\r\n\r\n" + document,
                std::chrono::seconds(1));
            if (bytes.starts_with("HTTP/1.1 200")) {
                return true;
            }
        } catch (const Poco::Exception &) {
            // This member is down; try the next one.
        }
    }
    return false;
}

} // namespace Chestnuthook::Testing
