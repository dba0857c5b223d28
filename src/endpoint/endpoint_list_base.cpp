/** @file endpoint_list_base.cpp  Fetches and decodes the platform's list of endpoints. */
#include "endpoint/endpoint_list_base.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "endpoint/http_attempt_func.h"

namespace Chestnuthook
{

namespace
{

constexpr std::int64_t ListFetchTimeoutMs = 1000;

ListedEndpoint readEndpoint(const Poco::JSON::Object::Ptr &object)
{
    ListedEndpoint endpoint;
    endpoint.id = EndpointId{object->getValue<std::string>("address")};
    const bool engine = object->getValue<std::string>("kind") == "engine";
    endpoint.kind = engine ? EndpointKind::Engine : EndpointKind::Service;
    endpoint.name = object->getValue<std::string>("name");
    endpoint.dataCentre = DataCentreId{object->optValue<std::string>("data_centre", "")};
    endpoint.leaving = object->optValue<std::string>("state", "live") != "live";
    return endpoint;
}

} // namespace

Result<EndpointList> fetchEndpointList(const std::string &address, CancelToken &cancel)
{
    AttemptRequest request;
    request.address = address;
    request.method = "GET";
    request.path = "/v1/instances";
    request.timeoutMs = ListFetchTimeoutMs;
    const AttemptOutcome outcome = runServiceAttempt(request, cancel);
    if (!outcome.complete || outcome.status != 200) {
        return fail(ErrorKind::NoEndpoint, "can't read the platform's endpoint list: " + outcome.what);
    }
    try {
        const auto list =
            Poco::JSON::Parser().parse(outcome.body).extract<Poco::JSON::Object::Ptr>()->getArray("instances");
        EndpointList endpoints;
        for (unsigned i = 0; !list.isNull() && i < list->size(); ++i) {
            endpoints.push_back(readEndpoint(list->getObject(i)));
        }
        return endpoints;
    } catch (const std::exception &exception) {
        return fail(
            ErrorKind::NoEndpoint, std::string("the platform's endpoint list is malformed: ") + exception.what());
    }
}

} // namespace Chestnuthook
