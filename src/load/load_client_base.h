/** @file load_client_base.h  HTTP client of the load tool: chooses entries, sends requests, parses responses. */
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Chestnuthook
{

/** Addresses and keys of the fleet under load, from the fleet.env that scripts/fleet writes. */
struct LoadTarget
{
    std::vector<std::string> entries; ///< Entries, as ip:port.
    std::vector<std::string> engines; ///< Fake engines, as ip:port.
    std::vector<std::string> services; ///< Fake services, as ip:port.
    std::string model; ///< Name of the model to call.
    std::string service; ///< Name of the service to call.
    std::vector<std::pair<std::string, std::string>> customers; ///< Customers: name and key.
    std::map<std::string, int> pids; ///< Process ids by process name; empty if the folder has no file `pids`.
    std::map<std::string, std::string> addresses; ///< Addresses of the fakes by name, for example `engine-1`.
};

/** Reads the fleet in @p folder and waits until its entries accept the keys, 5 s at most for each key at each entry.
 * @throws std::runtime_error if the folder holds no fleet. */
[[nodiscard]] LoadTarget readTarget(const std::string &folder);

/** A parsed response. */
struct LoadResponse
{
    int status = 0; ///< HTTP status; 0 if no complete response arrived.
    std::string body; ///< The body as received.
    std::string text; ///< Text of a completion; the chunks of a stream are joined.
    bool complete = false; ///< Whether the response is complete; a stream must end with `[DONE]`.
    std::string code; ///< Error code.
    std::string ran; ///< Whether a failed call ran: `no`, `yes` or `unknown`.
    std::int64_t retryAfterMs = 0; ///< Delay before a retry that an error asks for, in milliseconds.
};

/** Sends one request on a new connection. Does not throw. */
[[nodiscard]] LoadResponse sendRequest(const std::string &address, const std::string &key, const std::string &method,
    const std::string &path, const std::string &body);

/** Chooses entries from the directory, which is queried again when its TTL has passed; thread-safe. */
class LoadDirectory
{
public:
    explicit LoadDirectory(std::vector<std::string> seeds)
        : seeds(std::move(seeds))
    {
    }

    /** The entry for attempt @p attempt of a request of program @p number. */
    std::string choose(std::uint64_t number, unsigned attempt);

private:
    void refresh();

    const std::vector<std::string> seeds; ///< Configured entries, which serve the directory.
    std::mutex mutex; ///< Guards all members below.
    std::vector<std::string> entries; ///< Entries listed by the directory.
    std::int64_t validUntilMs = 0; ///< Time of the next query, in milliseconds of the steady clock.
};

} // namespace Chestnuthook
