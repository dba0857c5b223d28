/** @file fake_platform_base.cpp  Fake platform. */
#include "fakes/fake_platform_base.h"
#include "fakes/fake_json_func.h"

#include <algorithm>
#include <utility>

#include <Poco/JSON/Array.h>

namespace Chestnuthook
{

namespace
{

using Poco::Net::HTTPResponse;

bool isKnownKind(const std::string &kind)
{
    return kind == "engine" || kind == "service";
}

Poco::JSON::Object::Ptr instanceJson(const FakeInstance &instance)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("address", instance.address);
    json->set("kind", instance.kind);
    json->set("name", instance.name);
    json->set("data_centre", instance.dataCentre);
    json->set("state", instance.state);
    return json;
}

FakeInstance instanceOf(const Poco::JSON::Object &json)
{
    return {fakeField<std::string>(json, "address", ""), fakeField<std::string>(json, "kind", ""),
        fakeField<std::string>(json, "name", ""), fakeField<std::string>(json, "data_centre", ""), "live"};
}

std::vector<FakeInstance>::iterator findAddress(std::vector<FakeInstance> &list, const std::string &address)
{
    return std::find_if(list.begin(), list.end(), [&address](const FakeInstance &instance) {
        return instance.address == address;
    });
}

FakeOutcome sendOk(FakeExchange &exchange)
{
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("ok", true);
    return sendJson(exchange, HTTPResponse::HTTP_OK, json);
}

} // namespace

Result<std::vector<FakeInstance>> parseFakeInstances(const std::string &text)
{
    std::vector<FakeInstance> instances;
    for (const std::string &item : fakeSplit(text, ',')) {
        const auto parts = fakeSplit(item, '/');
        if (parts.size() != 4 || !isKnownKind(parts[1])) {
            return fail(ErrorKind::BadSetting, "'" + item + "' is not ip:port/engine|service/name/data_centre");
        }
        instances.push_back({parts[0], parts[1], parts[2], parts[3], "live"});
    }
    return instances;
}

FakePlatform::FakePlatform(FakePlatformOptions settings)
    : options(std::move(settings))
{
    this->versions.push_back({0, this->options.instances});
}

std::vector<FakeInstance> FakePlatform::listAt(std::int64_t nowMs)
{
    const std::scoped_lock lock(this->mutex);
    while (this->versions.size() > 1 && this->versions[1].sinceMs + this->options.listLagMs <= nowMs) {
        this->versions.pop_front();
    }
    return this->versions.front().instances;
}

void FakePlatform::join(const FakeInstance &instance, std::int64_t nowMs)
{
    const std::scoped_lock lock(this->mutex);
    ListVersion version{nowMs, this->versions.back().instances};
    if (const auto found = findAddress(version.instances, instance.address); found != version.instances.end()) {
        *found = instance;
    } else {
        version.instances.push_back(instance);
    }
    this->versions.push_back(std::move(version));
}

bool FakePlatform::leave(const std::string &address, bool remove, std::int64_t nowMs)
{
    const std::scoped_lock lock(this->mutex);
    ListVersion version{nowMs, this->versions.back().instances};
    const auto found = findAddress(version.instances, address);
    if (found == version.instances.end()) {
        return false;
    }
    if (remove) {
        version.instances.erase(found);
    } else {
        found->state = "leaving";
    }
    this->versions.push_back(std::move(version));
    return true;
}

FakeOutcome FakePlatform::sendInstances(FakeExchange &exchange)
{
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (const FakeInstance &instance : this->listAt(fakeNowMs())) {
        list->add(instanceJson(instance));
    }
    Poco::JSON::Object::Ptr json = new Poco::JSON::Object;
    json->set("instances", list);
    return sendJson(exchange, HTTPResponse::HTTP_OK, json);
}

FakeOutcome FakePlatform::changeList(FakeExchange &exchange)
{
    const auto json = parseBody(exchange);
    if (!json) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", json.error().what);
    }
    const FakeInstance instance = instanceOf(**json);
    if (exchange.path == "/fake/leave") {
        if (!this->leave(instance.address, fakeField(**json, "remove", false), fakeNowMs())) {
            return sendError(exchange, HTTPResponse::HTTP_NOT_FOUND, "not_found", "no instance at that address");
        }
        return sendOk(exchange);
    }
    if (instance.address.empty() || !isKnownKind(instance.kind)) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "address and kind are needed");
    }
    this->join(instance, fakeNowMs());
    return sendOk(exchange);
}

/** Reserves the weight store for @p transferMs if it is free. @return 0, or the milliseconds until it is free. */
std::int64_t FakePlatform::reserveTransfer(std::int64_t transferMs)
{
    const std::scoped_lock lock(this->mutex);
    const std::int64_t nowMs = fakeNowMs();
    if (nowMs < this->busyUntilMs) {
        return this->busyUntilMs - nowMs;
    }
    this->busyUntilMs = nowMs + transferMs;
    return 0;
}

FakeOutcome FakePlatform::loadWeights(FakeExchange &exchange)
{
    const auto json = parseBody(exchange);
    if (!json) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", json.error().what);
    }
    const auto bytes = fakeField<std::int64_t>(**json, "bytes", this->options.modelBytes);
    const std::string endpoint = fakeField<std::string>(**json, "endpoint", "");
    const std::string model = fakeField<std::string>(**json, "model", "");
    if (bytes < 0 || endpoint.empty() || model.empty()) {
        return sendError(exchange, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "endpoint and model are needed");
    }
    exchange.note = "endpoint=" + endpoint + " model=" + model;
    const std::int64_t transferMs = bytes * 1000 / this->options.weightBytesPerSecond;
    if (const std::int64_t waitMs = this->reserveTransfer(transferMs); waitMs > 0) {
        exchange.response.set("Retry-After", std::to_string((waitMs + 999) / 1000));
        return sendError(exchange, HTTPResponse::HTTP_TOO_MANY_REQUESTS, "rate_exceeded",
            "the weight store is at its rate for " + std::to_string(waitMs) + " ms");
    }
    if (!waitUnlessDisconnected(exchange, transferMs * 1000)) {
        return FakeOutcome::Cancelled;
    }
    return sendOk(exchange);
}

FakeOutcome FakePlatform::serve(FakeExchange &exchange)
{
    const std::string call = exchange.request.getMethod() + " " + exchange.path;
    if (call == "GET /v1/instances") {
        return this->sendInstances(exchange);
    }
    if (call == "POST /fake/leave" || call == "POST /fake/join") {
        return this->changeList(exchange);
    }
    if (call == "POST /v1/weights/load") {
        return this->loadWeights(exchange);
    }
    return sendError(exchange, HTTPResponse::HTTP_NOT_FOUND, "not_found", "no such route: " + call);
}

} // namespace Chestnuthook
