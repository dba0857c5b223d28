/** @file declaration_fuzz.cpp  Fuzzes the reading of declaration files: any input is accepted or reported with faults
 * that have a description and a remedy. */
#include "ctl/declaration_file_base.h"
#include "fleet/declaration_func.h"
#include "fuzz_input.h"

using namespace Chestnuthook;

// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string path = Fuzz::scratchFolder() + "/site.yaml";
    Fuzz::writeFile(path, Fuzz::textOf(data, size));
    const DeclarationFiles files = readDeclarations({path});
    for (const DeclarationFault &fault : files.faults) {
        Fuzz::require(!fault.what.empty() && !fault.remedy.empty());
    }
    // The fleet state accepts all declarations that ctl accepts.
    for (const auto &[name, item] : files.items) {
        Fuzz::require(!files.faults.empty() || checkDeclaration(name.section, name.name, item.json).has_value());
    }
    return 0;
}
