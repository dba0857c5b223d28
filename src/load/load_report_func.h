/** @file load_report_func.h  The report of a run: the four measures, the promises, data and a script for the plots, and
 * the comparison with another run. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/load_ledger_func.h"
#include "load/load_record_base.h"

namespace Chestnuthook
{

/** What a report is made from. */
struct LoadReport
{
    std::string command; ///< How the run was started, without keys.
    std::vector<std::string> customerNames; ///< By index.
    std::vector<std::string> faults; ///< What was carried out.
    CacheUse cache; ///< From the engines' ledgers.
    std::uint64_t notStarted = 0; ///< Arrivals past the bound on programs at once.
    double seconds = 0; ///< How long the run took.
};

/** The measures by name, such as `latency_mean_s`. */
[[nodiscard]] std::map<std::string, double> loadMeasures(const LoadReport &report, const LoadRecord &record);

/** The report as Markdown; with the measures of another run where @p other is not empty. */
[[nodiscard]] std::string loadMarkdown(
    const LoadReport &report, const LoadRecord &record, const std::map<std::string, double> &other);

/** Writes report.md, measures.txt, the plots' data and plot.gp into @p folder. @throws std::runtime_error */
void writeReport(const std::string &folder, const LoadReport &report, const LoadRecord &record,
    const std::map<std::string, double> &other);

/** Reads the measures.txt of another run. @throws std::runtime_error where there is none. */
[[nodiscard]] std::map<std::string, double> readMeasures(const std::string &folder);

} // namespace Chestnuthook
