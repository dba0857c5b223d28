/** @file main.cpp  chestnuthook-fakes engine|service|platform: fake servers for tests and the demo. */
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <unistd.h>

#include <gflags/gflags.h>

#include "fakes/fake_engine_base.h"
#include "fakes/fake_platform_base.h"
#include "fakes/fake_server_func.h"
#include "fakes/fake_service_base.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port to listen on; port 0 for any");
DEFINE_string(name, "fake", "name of the engine, service or platform");
DEFINE_string(data_centre, "dc1", "data centre that it says to be in");
DEFINE_string(models, "verse,order", "engine: loaded models, with commas between");
DEFINE_int64(token_ms, 2, "engine: milliseconds for each token of an answer");
DEFINE_int64(prefill_us_per_token, 20, "engine: microseconds for each token of the prompt that isn't cached");
DEFINE_int64(batch, 32, "engine: requests that run at the same time");
DEFINE_int64(cache_blocks, 4096, "engine: blocks of the prefix cache");
DEFINE_int64(block_tokens, 16, "engine: tokens of a cache block");
DEFINE_int64(report_lag_ms, 500, "engine: age of load reports in milliseconds");
DEFINE_bool(check_fencing, true, "engine: refuse orders with a fence lower than the highest seen");
DEFINE_string(endpoints, "", "platform: ip:port/engine|service/name/data_centre, with commas between");
DEFINE_int64(list_lag_ms, 500, "platform: the instance list is this many milliseconds late");
DEFINE_int64(weight_bytes_per_s, 100000000, "platform: bytes per second of the weight store");
DEFINE_int64(model_bytes, 10000000, "platform: size of a model's weights where a load names none");

namespace GFLAGS_NAMESPACE
{
// Not declared in a gflags header. gflags calls it with exit status 1 after it has reported an invalid flag.
extern void (*gflags_exitfunc)(int); // NOLINT(readability-identifier-naming)
} // namespace GFLAGS_NAMESPACE

namespace Chestnuthook
{

namespace
{

constexpr int UsageExit = 2;

[[noreturn]] void exitWithUsageError(const std::string &message)
{
    std::fprintf(stderr, "chestnuthook-fakes: %s\n", message.c_str());
    std::exit(UsageExit);
}

void requireAtLeast(const char *flag, std::int64_t value, std::int64_t least)
{
    if (value < least) {
        exitWithUsageError(
            "--" + std::string(flag) + "=" + std::to_string(value) + " must be at least " + std::to_string(least));
    }
}

void parseFlags(int *argc, char ***argv)
{
    gflags::SetUsageMessage("chestnuthook-fakes engine|service|platform [--listen=ip:port] [flags]");
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int) {
        std::exit(UsageExit);
    };
    gflags::ParseCommandLineNonHelpFlags(argc, argv, true);
    GFLAGS_NAMESPACE::gflags_exitfunc = [](int) {
        std::exit(EXIT_SUCCESS);
    };
    gflags::HandleCommandLineHelpFlags();
}

FakeEngineOptions engineOptions()
{
    requireAtLeast("token_ms", FLAGS_token_ms, 0);
    requireAtLeast("prefill_us_per_token", FLAGS_prefill_us_per_token, 0);
    requireAtLeast("batch", FLAGS_batch, 1);
    requireAtLeast("cache_blocks", FLAGS_cache_blocks, 1);
    requireAtLeast("block_tokens", FLAGS_block_tokens, 1);
    requireAtLeast("report_lag_ms", FLAGS_report_lag_ms, 0);
    FakeEngineOptions options;
    options.models = fakeSplit(FLAGS_models, ',');
    options.tokenMs = FLAGS_token_ms;
    options.prefillUsPerToken = FLAGS_prefill_us_per_token;
    options.batch = static_cast<std::size_t>(FLAGS_batch);
    options.cacheBlocks = static_cast<std::size_t>(FLAGS_cache_blocks);
    options.blockTokens = static_cast<std::size_t>(FLAGS_block_tokens);
    options.reportLagMs = FLAGS_report_lag_ms;
    options.checkFencing = FLAGS_check_fencing;
    return options;
}

FakePlatformOptions platformOptions()
{
    requireAtLeast("list_lag_ms", FLAGS_list_lag_ms, 0);
    requireAtLeast("weight_bytes_per_s", FLAGS_weight_bytes_per_s, 1);
    requireAtLeast("model_bytes", FLAGS_model_bytes, 0);
    auto instances = parseFakeInstances(FLAGS_endpoints);
    if (!instances) {
        exitWithUsageError("--endpoints: " + instances.error().what);
    }
    return {std::move(*instances), FLAGS_list_lag_ms, FLAGS_weight_bytes_per_s, FLAGS_model_bytes};
}

/** Serves requests until SIGTERM or SIGINT, then exits immediately without waiting for requests. */
template<typename Fake>
[[noreturn]] void serveUntilSignal(FakeServerContext &common, Fake &fake, const sigset_t &signals)
{
    FakeServer server(common, [&fake](FakeExchange &exchange) {
        return fake.serve(exchange);
    });
    const auto address = server.start(FLAGS_listen);
    if (!address) {
        exitWithUsageError(address.error().what);
    }
    std::printf("listening address=%s\n", address->c_str());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&signals, &signal);
    _exit(EXIT_SUCCESS);
}

sigset_t blockSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

[[noreturn]] void run(const std::string &kind)
{
    const sigset_t signals = blockSignals();
    FakeServerContext common;
    common.name = FLAGS_name;
    common.dataCentre = FLAGS_data_centre;
    if (kind == "engine") {
        common.workPath = "/v1/chat/completions";
        FakeEngine engine(common, engineOptions());
        serveUntilSignal(common, engine, signals);
    }
    if (kind == "service") {
        common.workPath = "/";
        FakeService service(common);
        serveUntilSignal(common, service, signals);
    }
    if (kind == "platform") {
        common.workPath = "/v1/";
        FakePlatform platform(platformOptions());
        serveUntilSignal(common, platform, signals);
    }
    exitWithUsageError("'" + kind + "' is not engine, service or platform");
}

} // namespace

} // namespace Chestnuthook

int main(int argc, char **argv)
{
    Chestnuthook::parseFlags(&argc, &argv);
    if (argc != 2) {
        Chestnuthook::exitWithUsageError("give one of engine, service or platform; see --help");
    }
    Chestnuthook::run(argv[1]);
}
