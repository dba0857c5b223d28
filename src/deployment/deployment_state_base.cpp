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
    case Wire::DeploymentCommand::EVACUATION:
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
}

} // namespace Chestnuthook
