/** @file fake_json_func.h  Access to optional fields of JSON objects. */
#pragma once

#include <string>

#include <Poco/JSON/Object.h>

namespace Chestnuthook
{

/** The field @p name, or @p otherwise if it is missing or null. @throws Poco::Exception if it has the wrong type. */
template<typename T>
[[nodiscard]] T fakeField(const Poco::JSON::Object &json, const std::string &name, T otherwise)
{
    return json.isNull(name) ? otherwise : json.getValue<T>(name);
}

} // namespace Chestnuthook
