/** @file declaration_fuzz.cpp  Declaration files: whatever operators write is read or gives faults with line and
 * remedy. */
#include "ctl/declaration_file_base.h"
#include "fleet/declaration_func.h"
#include "fuzz_input.h"

using namespace Chestnuthook;

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string path = Fuzz::scratchFolder() + "/site.yaml";
    Fuzz::writeFile(path, Fuzz::textOf(data, size));
    const DeclarationFiles files = readDeclarations({path});
    for (const DeclarationFault &fault : files.faults) {
        Fuzz::require(!fault.what.empty() && !fault.remedy.empty());
    }
    // What ctl accepts, the state machine accepts too.
    for (const auto &[name, item] : files.items) {
        Fuzz::require(!files.faults.empty() || checkDeclaration(name.section, name.name, item.json).has_value());
    }
    return 0;
}
