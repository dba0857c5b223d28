/** @file deployment_state_base.cpp  Encoding of commands and snapshots of the deployment's state. */
#include "deployment/deployment_state_base.h"

#include <capnp/message.h>

#include "rpc/message_func.h"

namespace Chestnuthook
{

namespace
{

using WireVersions = capnp::List<Wire::ServiceVersion>;

void writeVersions(WireVersions::Builder list, const ServiceVersions &versions)
{
    unsigned position = 0;
    for (const ServiceVersion &version : versions) {
        list[position].setService(wireText(version.service));
        list[position++].setVersion(wireText(version.version));
    }
}

ServiceVersions readVersions(WireVersions::Reader list)
{
    ServiceVersions versions;
    for (const auto version : list) {
        versions.insert({textOf(version.getService()), textOf(version.getVersion())});
    }
    return versions;
}

void writeStrikes(capnp::List<Wire::StrikeRecord>::Builder list, const std::vector<EndpointStrike> &strikes)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setFingerprint(strikes[i].fingerprint);
        list[i].setEndpoint(wireText(strikes[i].endpoint));
        list[i].setAtMs(strikes[i].atMs);
        list[i].setBroad(strikes[i].isBroad);
        list[i].setUnderWayMs(strikes[i].underWayMs);
    }
}

std::vector<EndpointStrike> readStrikes(capnp::List<Wire::StrikeRecord>::Reader list)
{
    std::vector<EndpointStrike> strikes;
    for (const auto record : list) {
        strikes.push_back({record.getFingerprint(), textOf(record.getEndpoint()), record.getAtMs(), record.getBroad(),
            record.getUnderWayMs()});
    }
    return strikes;
}

} // namespace

std::string configurationCommand(std::uint64_t version, const std::string &document)
{
    capnp::MallocMessageBuilder message;
    auto group = message.initRoot<Wire::DeploymentCommand>().initConfiguration();
    group.setVersion(version);
    group.setDocument(dataOf(document));
    return flatBytes(message);
}

std::string viewCommand(const HistoryView &view)
{
    capnp::MallocMessageBuilder message;
    writeView(message.initRoot<Wire::DeploymentCommand>().initView(), view);
    return flatBytes(message);
}

std::string retireCommand(const std::string &instance)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<Wire::DeploymentCommand>().setRetire(wireText(instance));
    return flatBytes(message);
}

std::string addVersionsCommand(const ServiceVersions &versions)
{
    capnp::MallocMessageBuilder message;
    const auto count = static_cast<unsigned>(versions.size());
    writeVersions(message.initRoot<Wire::DeploymentCommand>().initAddVersions(count), versions);
    return flatBytes(message);
}

std::string removeVersionsCommand(const ServiceVersions &versions)
{
    capnp::MallocMessageBuilder message;
    const auto count = static_cast<unsigned>(versions.size());
    writeVersions(message.initRoot<Wire::DeploymentCommand>().initRemoveVersions(count), versions);
    return flatBytes(message);
}

std::string evacuationCommand(const std::string &dataCentre, bool active)
{
    capnp::MallocMessageBuilder message;
    auto group = message.initRoot<Wire::DeploymentCommand>().initEvacuation();
    group.setDataCentre(wireText(dataCentre));
    group.setActive(active);
    return flatBytes(message);
}

std::string strikesCommand(const std::vector<EndpointStrike> &strikes, const std::vector<std::uint64_t> &cleared)
{
    capnp::MallocMessageBuilder message;
    auto group = message.initRoot<Wire::DeploymentCommand>().initStrikes();
    writeStrikes(group.initRecorded(static_cast<unsigned>(strikes.size())), strikes);
    auto list = group.initCleared(static_cast<unsigned>(cleared.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list.set(i, cleared[i]);
    }
    return flatBytes(message);
}

std::string DeploymentState::apply(std::uint64_t index, std::string_view command)
{
    this->appliedIndex = index;
    FlatMessage message(command);
    const auto root = message.root<Wire::DeploymentCommand>();
    switch (root.which()) {
    case Wire::DeploymentCommand::CONFIGURATION:
        if (root.getConfiguration().getVersion() > this->configurationVersion) {
            this->configurationVersion = root.getConfiguration().getVersion();
            this->document = bytesOf(root.getConfiguration().getDocument());
        }
        break;
    case Wire::DeploymentCommand::VIEW:
        if (root.getView().getVersion() == this->view.version + 1) {
            this->view = readView(root.getView());
        }
        break;
    case Wire::DeploymentCommand::RETIRE:
        this->retiring.insert(textOf(root.getRetire()));
        break;
    case Wire::DeploymentCommand::ADD_VERSIONS:
        this->endpointVersions.merge(readVersions(root.getAddVersions()));
        break;
    case Wire::DeploymentCommand::REMOVE_VERSIONS:
        for (const ServiceVersion &version : readVersions(root.getRemoveVersions())) {
            this->endpointVersions.erase(version);
        }
        break;
    case Wire::DeploymentCommand::EVACUATION: // Builds before this command have no case for it and skip it.
        if (root.getEvacuation().getActive()) {
            this->evacuated.insert(textOf(root.getEvacuation().getDataCentre()));
        } else {
            this->evacuated.erase(textOf(root.getEvacuation().getDataCentre()));
        }
        break;
    case Wire::DeploymentCommand::STRIKES:
        this->strikes.record(readStrikes(root.getStrikes().getRecorded()));
        for (const std::uint64_t fingerprint : root.getStrikes().getCleared()) {
            this->strikes.erase(fingerprint);
        }
        break;
    }
    return {};
}

std::string DeploymentState::snapshot() const
{
    capnp::MallocMessageBuilder message;
    auto state = message.initRoot<Wire::DeploymentState>();
    state.setConfigurationVersion(this->configurationVersion);
    state.setDocument(dataOf(this->document));
    writeView(state.initView(), this->view);
    auto names = state.initRetiring(static_cast<unsigned>(this->retiring.size()));
    unsigned position = 0;
    for (const std::string &name : this->retiring) {
        names.set(position++, wireText(name));
    }
    const auto versionCount = static_cast<unsigned>(this->endpointVersions.size());
    writeVersions(state.initEndpointVersions(versionCount), this->endpointVersions);
    auto dataCentres = state.initEvacuated(static_cast<unsigned>(this->evacuated.size()));
    position = 0;
    for (const std::string &dataCentre : this->evacuated) {
        dataCentres.set(position++, wireText(dataCentre));
    }
    const std::vector<EndpointStrike> recorded = this->strikes.strikes();
    writeStrikes(state.initStrikes(static_cast<unsigned>(recorded.size())), recorded);
    return flatBytes(message);
}

void DeploymentState::restore(std::string_view bytes)
{
    FlatMessage message(bytes);
    const auto state = message.root<Wire::DeploymentState>();
    this->configurationVersion = state.getConfigurationVersion();
    this->document = bytesOf(state.getDocument());
    this->view = readView(state.getView());
    this->retiring.clear();
    for (const auto name : state.getRetiring()) {
        this->retiring.insert(textOf(name));
    }
    this->endpointVersions = readVersions(state.getEndpointVersions());
    this->evacuated.clear();
    for (const auto dataCentre : state.getEvacuated()) {
        this->evacuated.insert(textOf(dataCentre));
    }
    this->strikes.restore(readStrikes(state.getStrikes()));
}

} // namespace Chestnuthook
