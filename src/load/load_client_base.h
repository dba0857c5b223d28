/** @file load_client_base.h  A caller of the system: finds an entry, sends a request, reads the whole answer. */
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Chestnuthook
{

/** Where the fleet is, from the fleet.env that scripts/fleet writes. */
struct LoadTarget
{
    std::vector<std::string> entries; ///< ip:port.
    std::vector<std::string> engines; ///< Stand-ins.
    std::vector<std::string> services; ///< Stand-ins.
    std::string model; ///< Name of the model.
    std::string service; ///< Name of the service.
    std::vector<std::pair<std::string, std::string>> customers; ///< Name and key.
    std::map<std::string, int> pids; ///< Of processes by name; empty where the folder has none.
    std::map<std::string, std::string> addresses; ///< Of stand-ins by name, such as engine-1.
};

/** Reads @p folder and waits until the entries know the keys in it. @throws std::runtime_error where it holds no fleet.
 */
[[nodiscard]] LoadTarget readTarget(const std::string &folder);

/** An answer as a caller sees it. */
struct LoadAnswer
{
    int status = 0; ///< 0 where no whole answer came.
    std::string body; ///< All of it.
    std::string text; ///< Of a model's answer, joined where it was streamed.
    bool whole = false; ///< It ended as it should.
    std::string code; ///< Of an error.
    std::string ran; ///< Of an error: no, yes, unknown.
    std::int64_t retryAfterMs = 0; ///< Of an error.
};

/** Sends one request; does not throw. */
[[nodiscard]] LoadAnswer sendRequest(const std::string &address, const std::string &key, const std::string &method,
    const std::string &path, const std::string &body);

/** Asks the directory now and then and hands out entries, best first; thread-safe. */
class LoadDirectory
{
public:
    explicit LoadDirectory(std::vector<std::string> seeds)
        : seeds(std::move(seeds))
    {
    }

    /** The entry to use for try @p attempt of program @p number. */
    std::string choose(std::uint64_t number, unsigned attempt);

private:
    void refresh();

    const std::vector<std::string> seeds; ///< Entries known from the start.
    std::mutex mutex; ///< Guards all below.
    std::vector<std::string> entries; ///< As the directory told.
    std::int64_t validUntilMs = 0; ///< By the steady clock.
};

} // namespace Chestnuthook
