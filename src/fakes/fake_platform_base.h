/** @file fake_platform_base.h  The stand-in for the platform: the instance list and the weight store. */
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "fakes/fake_server_func.h"

namespace Chestnuthook
{

/** One instance in the platform's list. */
struct FakeInstance
{
    std::string address; ///< `ip:port`.
    std::string kind; ///< `engine` or `service`.
    std::string name; ///< Of the engine or service.
    std::string dataCentre; ///< Where it stands.
    std::string state = "live"; ///< `live` or `leaving`.
};

/** Settings of the platform. */
struct FakePlatformOptions
{
    std::vector<FakeInstance> instances; ///< The list at the start.
    std::int64_t listLagMs = 500; ///< The list shows changes this many milliseconds late.
    std::int64_t weightBytesPerSecond = 100'000'000; ///< What the weight store gives out in all.
    std::int64_t modelBytes = 10'000'000; ///< Size of a model's weights where a load names none.
};

/** Reads `ip:port/kind/name/data_centre,...`. */
[[nodiscard]] Result<std::vector<FakeInstance>> parseFakeInstances(const std::string &text);

/** The platform; thread-safe. */
class FakePlatform
{
public:
    explicit FakePlatform(FakePlatformOptions settings);
    /** Answers one request. */
    FakeOutcome serve(FakeExchange &exchange);
    /** The list as it is shown at @p nowMs. */
    [[nodiscard]] std::vector<FakeInstance> listAt(std::int64_t nowMs);
    /** Puts @p instance into the list, or replaces the one at its address. */
    void join(const FakeInstance &instance, std::int64_t nowMs);
    /** Marks the instance as leaving, or takes it out with @p remove; false where there is none. */
    bool leave(const std::string &address, bool remove, std::int64_t nowMs);

private:
    struct Version
    {
        std::int64_t sinceMs = 0; ///< When it became true, Unix time in milliseconds.
        std::vector<FakeInstance> instances; ///< The whole list.
    };

    FakeOutcome sendInstances(FakeExchange &exchange);
    FakeOutcome changeList(FakeExchange &exchange);
    FakeOutcome loadWeights(FakeExchange &exchange);
    std::int64_t reserveLoad(std::int64_t takesMs);

    FakePlatformOptions options; ///< Never changes.
    std::mutex mutex; ///< Guards all below.
    std::deque<Version> versions; ///< Oldest first, never empty; only the first may be older than the lag.
    std::int64_t busyUntilMs = 0; ///< The weight store gives its whole rate to one load until then.
};

} // namespace Chestnuthook
