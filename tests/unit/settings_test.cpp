/** @file settings_test.cpp  Tests of settings from flags and environment variables. */
#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <unistd.h>

#include "core/settings_func.h"

DEFINE_string(listen_address, "127.0.0.1:0", "where to listen");
DEFINE_int32(worker_count, 4, "threads");
DEFINE_bool(verbose_log, false, "log more");

using namespace Chestnuthook;

namespace
{

const std::vector<SettingCheck> Checks = {
    {"listen_address", "Network", addressCheck(true), "give ip:port"},
    {"worker_count", "Work", rangeCheck(1, 64), "give 1 to 64"},
    {"verbose_log", "Work", {}, "give true or false"},
};

/** Runs loadSettings on a command line; keeps its outcome and the arguments that are left. */
struct CommandLineRun
{
    explicit CommandLineRun(std::vector<std::string> given)
        : arguments(std::move(given))
    {
        this->arguments.insert(this->arguments.begin(), "program");
        for (std::string &argument : this->arguments) {
            this->pointers.push_back(argument.data());
        }
        this->pointers.push_back(nullptr);
        int argc = static_cast<int>(this->arguments.size());
        char **argv = this->pointers.data();
        this->outcome = loadSettings(argc, argv, Checks, {"CHESTNUTHOOK_FLEET_SECRET"});
        for (int i = 1; i < argc; ++i) {
            this->remaining.emplace_back(argv[i]);
        }
    }

    std::vector<std::string> arguments; ///< Storage of the strings in argv.
    std::vector<char *> pointers; ///< The argv array.
    SettingsOutcome outcome; ///< Result of loadSettings.
    std::vector<std::string> remaining; ///< Positional arguments left in argv.
};

/** Sets an environment variable while it is in scope. */
struct ScopedVariable
{
    ScopedVariable(std::string variable, const char *value)
        : name(std::move(variable))
    {
        setenv(this->name.c_str(), value, 1);
    }
    ScopedVariable(const ScopedVariable &) = delete;
    ScopedVariable &operator=(const ScopedVariable &) = delete;
    ~ScopedVariable()
    {
        unsetenv(this->name.c_str());
    }

    std::string name; ///< Name of the variable.
};

/** Number of faults in a command line; restores the flags afterwards. */
std::size_t faultCount(std::vector<std::string> arguments)
{
    const gflags::FlagSaver saver;
    return CommandLineRun(std::move(arguments)).outcome.faults.size();
}

/** Restores all flags after each test. */
struct Fixture
{
    gflags::FlagSaver saver; ///< Restores the flags on destruction.
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(settings, Fixture)

BOOST_AUTO_TEST_CASE(commandLineOverridesEnvironment)
{
    const ScopedVariable workers("CHESTNUTHOOK_WORKER_COUNT", "7");
    const ScopedVariable address("CHESTNUTHOOK_LISTEN_ADDRESS", "127.0.0.1:99");
    const CommandLineRun line({"apply", "--worker_count", "9", "-verbose_log", "file.yaml", "--", "--not_a_flag"});
    BOOST_TEST(line.outcome.faults.empty());
    BOOST_TEST(FLAGS_worker_count == 9);
    BOOST_TEST(FLAGS_listen_address == "127.0.0.1:99");
    BOOST_TEST(FLAGS_verbose_log);
    const std::vector<std::string> expected{"apply", "file.yaml", "--not_a_flag"};
    BOOST_TEST(line.remaining == expected, boost::test_tools::per_element());
    BOOST_TEST(!reportSettings(line.outcome).has_value());
}

BOOST_AUTO_TEST_CASE(allFaultsAreReportedAtOnce)
{
    const ScopedVariable unknown("CHESTNUTHOOK_NO_SUCH", "1");
    const ScopedVariable secret("CHESTNUTHOOK_FLEET_SECRET", "s");
    const ScopedVariable source("CHESTNUTHOOK_SOURCE", "/somewhere");
    const CommandLineRun line({"--listen_address=localhost:1", "--worker_count=many", "--wrong=1", "--flagfile=/x"});
    BOOST_REQUIRE(line.outcome.faults.size() == 5U);
    std::string all;
    for (const Error &fault : line.outcome.faults) {
        BOOST_TEST((fault.kind == ErrorKind::BadSetting));
        all += fault.what + "\n";
    }
    for (const char *part :
        {"--wrong", "--flagfile", "CHESTNUTHOOK_NO_SUCH", "'localhost:1'", "give ip:port", "'many'", "give 1 to 64"}) {
        BOOST_TEST_CONTEXT(part)
        {
            BOOST_TEST((all.find(part) != std::string::npos));
        }
    }
    BOOST_TEST((reportSettings(line.outcome) == 2));
}

BOOST_AUTO_TEST_CASE(outOfRangeAndMissingValuesAreRejected)
{
    BOOST_TEST(faultCount({"--worker_count=65"}) == 1U);
    BOOST_TEST(faultCount({"--worker_count"}) == 1U);
    BOOST_TEST(faultCount({"--verbose_log=perhaps"}) == 1U);
    const ScopedVariable workers("CHESTNUTHOOK_WORKER_COUNT", "0");
    BOOST_TEST(faultCount({}) == 1U);
}

BOOST_AUTO_TEST_CASE(booleanFlagsHaveNegatedForm)
{
    FLAGS_verbose_log = true;
    BOOST_TEST(CommandLineRun({"--noverbose_log"}).outcome.faults.empty());
    BOOST_TEST(!FLAGS_verbose_log);
    BOOST_TEST(faultCount({"--noworker_count"}) == 1U);
}

BOOST_AUTO_TEST_CASE(helpIsGroupedBySettingGroup)
{
    const CommandLineRun line({"--help"});
    const std::string &help = line.outcome.help;
    const std::size_t network = help.find("\nNetwork\n");
    const std::size_t work = help.find("\nWork\n");
    BOOST_TEST((network < help.find("--listen_address") && help.find("--listen_address") < work));
    BOOST_TEST((work < help.find("--worker_count") && help.find("--worker_count") != std::string::npos));
    BOOST_TEST((help.find("CHESTNUTHOOK_WORKER_COUNT") != std::string::npos));
    BOOST_TEST((reportSettings(line.outcome) == 0));
}

BOOST_AUTO_TEST_CASE(secretsComeFromFileOrEnvironment)
{
    BOOST_TEST(!loadSecret("fleet_secret", "").has_value());
    BOOST_TEST(!loadSecret("fleet_secret", "/no/such/file").has_value());
    const ScopedVariable secret("CHESTNUTHOOK_FLEET_SECRET", "from-environment");
    BOOST_TEST(loadSecret("fleet_secret", "").value() == "from-environment");
    char path[] = "/tmp/settings_test_XXXXXX";
    const int descriptor = mkstemp(path);
    BOOST_REQUIRE(descriptor >= 0);
    close(descriptor);
    BOOST_TEST(!loadSecret("fleet_secret", path).has_value());
    std::ofstream(path) << "from-file\r\n";
    BOOST_TEST(loadSecret("fleet_secret", path).value() == "from-file");
    std::remove(path);
}

BOOST_AUTO_TEST_CASE(checksRejectInvalidValues)
{
    BOOST_TEST(!addressCheck()("10.0.0.1:80").has_value());
    BOOST_TEST(!addressCheck()("[::1]:80").has_value());
    for (const char *wrong : {"", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x",
             "10.0.0.1:-1", "host:80", "::1:80", "[::1:80"}) {
        BOOST_TEST_CONTEXT(wrong)
        {
            BOOST_TEST(addressCheck()(wrong).has_value());
        }
    }
    BOOST_TEST(!addressListCheck()("10.0.0.1:80,10.0.0.2:80").has_value());
    BOOST_TEST(addressListCheck()("10.0.0.1:80,").has_value());
    BOOST_TEST(addressListCheck()("").has_value());
    BOOST_TEST(!addressListCheck(true)("").has_value());
    BOOST_TEST(positiveCheck()("0").has_value());
    BOOST_TEST(!positiveCheck()("0.5").has_value());
    BOOST_TEST(positiveCheck()("nan").has_value());
    BOOST_TEST(nonEmptyCheck()("").has_value());
    BOOST_TEST(oneOfCheck({"a", "b"})("c").has_value());
    BOOST_TEST(!oneOfCheck({"a", "b"})("b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(positionalArgumentsAreRejected)
{
    CommandLineRun line({"--worker_count=3", "start", "now"});
    BOOST_TEST(line.outcome.faults.empty());
    rejectPositionalArguments(line.outcome, 3, line.pointers.data());
    BOOST_REQUIRE_EQUAL(line.outcome.faults.size(), 2U);
    BOOST_TEST(line.outcome.faults[1].what.find("unexpected word 'now'") == 0U);
}

BOOST_AUTO_TEST_CASE(versionIsPrinted)
{
    const CommandLineRun line({"--version", "--colour=red"});
    BOOST_TEST(line.outcome.faults.empty());
    BOOST_TEST(line.outcome.help.starts_with("chestnuthook "));
    const CommandLineRun both({"--version", "--help"});
    BOOST_TEST(both.outcome.help.find("--worker_count") != std::string::npos);
}
