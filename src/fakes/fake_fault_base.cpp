/** @file fake_fault_base.cpp  Fault injection for the fake servers. */
#include "fakes/fake_fault_base.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Chestnuthook
{

namespace
{

constexpr std::array<std::string_view, 8> KindNames{
    "crash", "hang", "slow", "truncate", "refuse", "late", "crossed", "gap"};

bool matchesRequest(const FakeFaultSpec &spec, std::string_view path, bool work, std::string_view body)
{
    if (spec.kind == FakeFaultKind::Gap) {
        return false;
    }
    const bool pathMatches = spec.path.empty() ? work : path.starts_with(spec.path);
    return pathMatches && body.find(spec.match) != std::string_view::npos;
}

} // namespace

std::optional<FakeFaultKind> fakeFaultKind(std::string_view name)
{
    const auto *const found = std::find(KindNames.begin(), KindNames.end(), name);
    if (found == KindNames.end()) {
        return std::nullopt;
    }
    return static_cast<FakeFaultKind>(found - KindNames.begin());
}

void FakeFaultQueue::add(FakeFaultSpec spec)
{
    if (spec.count == 0) {
        return;
    }
    const std::scoped_lock lock(this->mutex);
    this->specs.push_back(std::move(spec));
}

FakeFaultSpec FakeFaultQueue::takeOne(std::vector<FakeFaultSpec>::iterator spec)
{
    spec->count -= 1;
    FakeFaultSpec taken = *spec;
    if (spec->count == 0) {
        this->specs.erase(spec);
    }
    return taken;
}

std::optional<FakeFaultSpec> FakeFaultQueue::take(std::string_view path, bool work, std::string_view body)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = std::find_if(this->specs.begin(), this->specs.end(), [&](const FakeFaultSpec &spec) {
        return matchesRequest(spec, path, work, body);
    });
    if (found == this->specs.end()) {
        return std::nullopt;
    }
    return this->takeOne(found);
}

bool FakeFaultQueue::takeGap()
{
    const std::scoped_lock lock(this->mutex);
    const auto found = std::find_if(this->specs.begin(), this->specs.end(), [](const FakeFaultSpec &spec) {
        return spec.kind == FakeFaultKind::Gap;
    });
    if (found == this->specs.end()) {
        return false;
    }
    this->takeOne(found);
    return true;
}

void FakeFaultQueue::clear()
{
    const std::scoped_lock lock(this->mutex);
    this->specs.clear();
}

} // namespace Chestnuthook
