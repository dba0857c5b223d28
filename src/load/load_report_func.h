/** @file load_report_func.h  Report of a run: measures, checked guarantees, data and a script for the plots, and a
 * comparison with another run. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/load_ledger_func.h"
#include "load/load_record_base.h"

namespace Chestnuthook
{

/** Input of a report besides the LoadRecord. */
struct LoadReport
{
    std::string command; ///< Command line of the run, without keys.
    std::vector<std::string> customerNames; ///< Names of the customers, by index.
    std::vector<std::string> faults; ///< Descriptions of the injected faults.
    CacheUse cache; ///< Cache use, from the ledgers of the engines.
    std::uint64_t droppedPrograms = 0; ///< Arrivals not started because too many programs were running.
    double seconds = 0; ///< Duration of the run.
};

/** The measures by name, for example `latency_mean_s`. */
[[nodiscard]] std::map<std::string, double> loadMeasures(const LoadReport &report, const LoadRecord &record);

/** The report as Markdown. Includes the measures of another run if @p other is not empty. */
[[nodiscard]] std::string loadMarkdown(
    const LoadReport &report, const LoadRecord &record, const std::map<std::string, double> &other);

/** Writes report.md, measures.txt, plot.gp and the data of the plots into @p folder. @throws std::runtime_error */
void writeReport(const std::string &folder, const LoadReport &report, const LoadRecord &record,
    const std::map<std::string, double> &other);

/** Reads the measures.txt of another run. @throws std::runtime_error if it is missing or empty. */
[[nodiscard]] std::map<std::string, double> readMeasures(const std::string &folder);

} // namespace Chestnuthook
