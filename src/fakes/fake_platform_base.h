/** @file fake_platform_base.h  Fake platform: the instance list and the store of model weights. */
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "fakes/fake_server_func.h"

namespace Chestnuthook
{

/** An instance in the list of the platform. */
struct FakeInstance
{
    std::string address; ///< `ip:port`.
    std::string kind; ///< `engine` or `service`.
    std::string name; ///< Name of the engine or service.
    std::string dataCentre; ///< Data centre of the instance.
    std::string state = "live"; ///< `live` or `leaving`.
};

/** Settings of a FakePlatform. */
struct FakePlatformOptions
{
    std::vector<FakeInstance> instances; ///< Instances at the start.
    std::int64_t listLagMs = 500; ///< Delay in milliseconds until a change shows in the list.
    std::int64_t weightBytesPerSecond = 100'000'000; ///< Total rate of the weight store.
    std::int64_t modelBytes = 10'000'000; ///< Size of the weights of a model if the request gives none.
};

/** Parses `ip:port/kind/name/data_centre,...`. Errors: BadSetting. */
[[nodiscard]] Result<std::vector<FakeInstance>> parseFakeInstances(const std::string &text);

/** A fake platform; thread-safe. */
class FakePlatform
{
public:
    explicit FakePlatform(FakePlatformOptions settings);
    /** Handles one request. */
    FakeOutcome serve(FakeExchange &exchange);
    /** The instance list that clients see at @p nowMs. */
    [[nodiscard]] std::vector<FakeInstance> listAt(std::int64_t nowMs);
    /** Adds @p instance to the list, or replaces the one with its address. */
    void join(const FakeInstance &instance, std::int64_t nowMs);
    /** Marks the instance at @p address as leaving or, with @p remove, removes it. @return false if there is none. */
    bool leave(const std::string &address, bool remove, std::int64_t nowMs);

private:
    struct ListVersion
    {
        std::int64_t sinceMs = 0; ///< Time of the change; Unix time in milliseconds.
        std::vector<FakeInstance> instances; ///< The complete list.
    };

    FakeOutcome sendInstances(FakeExchange &exchange);
    FakeOutcome changeList(FakeExchange &exchange);
    FakeOutcome loadWeights(FakeExchange &exchange);
    std::int64_t reserveTransfer(std::int64_t transferMs);

    FakePlatformOptions options; ///< Constant.
    std::mutex mutex; ///< Guards all members below.
    std::deque<ListVersion> versions; ///< Oldest first, never empty; listAt() drops outdated versions.
    std::int64_t busyUntilMs = 0; ///< Unix time in milliseconds until which a transfer takes the whole rate.
};

} // namespace Chestnuthook
