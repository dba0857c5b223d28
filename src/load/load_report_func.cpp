/** @file load_report_func.cpp  Computes the measures and writes the report. */
#include "load/load_report_func.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <numeric>
#include <sstream>
#include <stdexcept>

namespace Chestnuthook
{

namespace
{

constexpr double Quantile95 = 0.95;

double meanOf(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantileOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
    return values[std::min(at, values.size() - 1)];
}

double ratioOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string text(double value)
{
    std::ostringstream stream;
    stream << std::setprecision(4) << value;
    return stream.str();
}

std::uint64_t countViolations(const LoadRecord &record)
{
    return std::accumulate(record.broken.begin(), record.broken.end(), std::uint64_t{0});
}

void writeMeasures(
    std::ostream &out, const LoadReport &report, const LoadRecord &record, const std::map<std::string, double> &other)
{
    out << "## Measures\n\n| measure | this run |"
        << (other.empty() ? "\n| --- | --- |\n" : " other run | ratio |\n| --- | --- | --- | --- |\n");
    for (const auto &[name, value] : loadMeasures(report, record)) {
        out << "| " << name << " | " << text(value) << " |";
        const auto before = other.find(name);
        if (before != other.end()) {
            out << " " << text(before->second) << " | " << (before->second == 0 ? "-" : text(value / before->second))
                << " |";
        } else if (!other.empty()) {
            out << " - | - |";
        }
        out << "\n";
    }
}

void writeGuarantees(std::ostream &out, const LoadRecord &record)
{
    out << "\n## Promises\n\n| promise | checks | broken |\n| --- | --- | --- |\n";
    for (std::size_t i = 0; i < LoadGuaranteeCount; ++i) {
        out << "| " << loadGuaranteeName(static_cast<LoadGuarantee>(i)) << " | " << record.checks.at(i) << " | "
            << record.broken.at(i) << " |\n";
    }
    for (const std::string &example : record.examples) {
        out << "\n- " << example << "\n";
    }
}

void writeCustomers(std::ostream &out, const LoadReport &report, const LoadRecord &record)
{
    out << "\n## Tenants\n\n| tenant | programs | finished | calls | refusals | given up |\n"
        << "| --- | --- | --- | --- | --- | --- |\n";
    for (std::size_t i = 0; i < record.customers.size(); ++i) {
        const CustomerRecord &customer = record.customers[i];
        out << "| " << report.customerNames[i] << " | " << customer.programs << " | " << customer.finished << " | "
            << customer.calls << " | " << customer.refusals << " | " << customer.abandoned << " |\n";
    }
    for (const auto &[code, count] : record.abandonedCodes) {
        out << "\n- given up with `" << code << "`: " << count << "\n";
    }
}

std::string plotScript()
{
    return "# Run by scripts/load-report.\n"
           "set terminal svg size 800,400\nset grid\nset key left top\n"
           "set output 'latency.svg'\nset title 'Program latency'\nset xlabel 'seconds'\nset ylabel 'share of "
           "programs'\n"
           "plot 'latency.dat' using 1:2 with steps title 'programs', 'calls.dat' using 1:2 with steps title 'calls'\n"
           "set output 'timeline.svg'\nset title 'Program latency by arrival'\nset xlabel 'arrival (s)'\n"
           "set ylabel 'seconds'\nplot 'timeline.dat' using 1:2 with points pt 7 ps 0.5 notitle\n"
           "set output 'tenants.svg'\nset title 'Share of programs finished; refusals per call'\nset xlabel 'tenant'\n"
           "set ylabel 'share'\nset yrange [0:*]\nset style fill solid 0.6\nset boxwidth 0.4\n"
           "plot 'tenants.dat' using ($0-0.2):2 with boxes title 'finished', "
           "'' using ($0+0.2):3:xtic(1) with boxes title 'refusals per call'\n"
           "set output 'cache.svg'\nset title 'Tokens of prompts'\nset xlabel ''\nset ylabel 'tokens'\n"
           "plot 'cache.dat' using 2:xtic(1) with boxes notitle\n";
}

std::ofstream openFile(const std::string &path)
{
    std::ofstream stream(path);
    if (!stream) {
        throw std::runtime_error("can't write " + path);
    }
    return stream;
}

void writeDistribution(const std::string &path, std::vector<double> values)
{
    std::ofstream out = openFile(path);
    std::sort(values.begin(), values.end());
    out << "0 0\n";
    for (std::size_t i = 0; i < values.size(); ++i) {
        out << values[i] << " " << ratioOf(i + 1, values.size()) << "\n";
    }
}

} // namespace

std::map<std::string, double> loadMeasures(const LoadReport &report, const LoadRecord &record)
{
    std::map<std::string, double> measures;
    std::uint64_t programs = 0;
    std::uint64_t finished = 0;
    std::uint64_t calls = 0;
    std::uint64_t refusals = 0;
    double worst = 1;
    for (const CustomerRecord &customer : record.customers) {
        programs += customer.programs;
        finished += customer.finished;
        calls += customer.calls;
        refusals += customer.refusals;
        worst = customer.programs == 0 ? worst : std::min(worst, ratioOf(customer.finished, customer.programs));
    }
    measures["latency_mean_s"] = meanOf(record.programSeconds);
    measures["latency_p50_s"] = quantileOf(record.programSeconds, 0.5);
    measures["latency_p95_s"] = quantileOf(record.programSeconds, Quantile95);
    measures["call_p95_s"] = quantileOf(record.callSeconds, Quantile95);
    measures["wasted_cache_share"] = ratioOf(report.cache.recomputed, report.cache.cachedOnce);
    measures["worst_tenant_finished_share"] = worst;
    measures["refusals_per_call"] = ratioOf(refusals, calls);
    measures["programs"] = static_cast<double>(programs);
    measures["programs_finished"] = static_cast<double>(finished);
    measures["programs_not_started"] = static_cast<double>(report.droppedPrograms);
    measures["calls"] = static_cast<double>(calls);
    measures["promises_broken"] = static_cast<double>(countViolations(record));
    return measures;
}

std::string loadMarkdown(const LoadReport &report, const LoadRecord &record, const std::map<std::string, double> &other)
{
    std::ostringstream out;
    out << "# Load run\n\n`" << report.command << "`, " << text(report.seconds) << " s\n\n";
    writeMeasures(out, report, record, other);
    out << "\nLatency is time spent waiting for answers, without thinking; tries again and the pauses before them "
           "count. Wasted "
           "cache is the share\nof tokens that an earlier call of the program had in a cache and that were computed "
           "again. Every 429 "
           "and 503 counts as a\nrefusal; whether it was inside the tenant's rate is for the reader who knows the "
           "declared rates.\n";
    writeGuarantees(out, record);
    writeCustomers(out, report, record);
    out << "\n## Faults\n\n";
    for (const std::string &fault : report.faults) {
        out << "- " << fault << "\n";
    }
    out << (report.faults.empty() ? "none\n" : "")
        << "\n## Plots\n\n`scripts/load-report DIR` draws them.\n\n![latency](latency.svg)\n![by "
           "arrival](timeline.svg)\n"
           "![tenants](tenants.svg)\n![cache](cache.svg)\n";
    return out.str();
}

void writeReport(const std::string &folder, const LoadReport &report, const LoadRecord &record,
    const std::map<std::string, double> &other)
{
    std::filesystem::create_directories(folder);
    openFile(folder + "/report.md") << loadMarkdown(report, record, other);
    openFile(folder + "/plot.gp") << plotScript();
    std::ofstream measures = openFile(folder + "/measures.txt");
    for (const auto &[name, value] : loadMeasures(report, record)) {
        measures << name << " " << value << "\n";
    }
    writeDistribution(folder + "/latency.dat", record.programSeconds);
    writeDistribution(folder + "/calls.dat", record.callSeconds);
    std::ofstream timeline = openFile(folder + "/timeline.dat");
    for (const auto &[arrival, seconds] : record.timeline) {
        timeline << arrival << " " << seconds << "\n";
    }
    std::ofstream customers = openFile(folder + "/tenants.dat");
    for (std::size_t i = 0; i < record.customers.size(); ++i) {
        const CustomerRecord &customer = record.customers[i];
        customers << report.customerNames[i] << " " << ratioOf(customer.finished, customer.programs) << " "
                  << ratioOf(customer.refusals, customer.calls) << "\n";
    }
    openFile(folder + "/cache.dat") << "prompt " << report.cache.prompt << "\n\"cached once\" "
                                    << report.cache.cachedOnce << "\nrecomputed " << report.cache.recomputed << "\n";
}

std::map<std::string, double> readMeasures(const std::string &folder)
{
    std::ifstream stream(folder + "/measures.txt");
    std::map<std::string, double> measures;
    std::string name;
    double value = 0;
    while (stream >> name >> value) {
        measures[name] = value;
    }
    if (measures.empty()) {
        throw std::runtime_error("no measures.txt of a run in " + folder);
    }
    return measures;
}

} // namespace Chestnuthook
