/** @file declaration_func.cpp  Reads declarations from JSON, field by field. */
#include "fleet/declaration_func.h"

#include <algorithm>
#include <initializer_list>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Chestnuthook
{

namespace
{

constexpr double MaxRate = 1e6;
constexpr std::int64_t MaxTimeoutMs = 3'600'000;
constexpr std::int64_t DefaultTimeoutMs = 30'000;
constexpr std::uint32_t DefaultMaxTokens = 4096;
constexpr std::uint64_t DefaultCalls = 88;
constexpr std::uint64_t DefaultTokens = 130'000;
constexpr std::uint64_t DefaultMs = 3'600'000;
constexpr std::uint32_t DefaultDepth = 4;
constexpr std::int64_t DefaultRetentionMs = 600'000;

/** Reads the fields of one object and keeps the first fault. */
class FieldReader
{
public:
    FieldReader(const std::string &json, std::initializer_list<std::string_view> known)
    {
        try {
            this->object = Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
        } catch (const Poco::Exception &exception) {
            this->blame("", "is not an object; give fields by name");
            return;
        }
        for (const std::string &name : this->object->getNames()) {
            if (std::find(known.begin(), known.end(), name) == known.end()) {
                this->blame(name, "is not known; remove it or mend its spelling");
            }
        }
    }

    double number(const std::string &name, double least, double most, double otherwise)
    {
        if (!this->present(name)) {
            return otherwise;
        }
        const Poco::Dynamic::Var value = this->object->get(name);
        if (!value.isNumeric() || value.isBoolean()) {
            this->blame(name, "must be a number");
            return otherwise;
        }
        const auto found = value.convert<double>();
        if (!(found >= least && found <= most)) {
            this->blame(name, "must be from " + trimmed(least) + " to " + trimmed(most));
        }
        return found;
    }

    bool flag(const std::string &name)
    {
        if (!this->present(name)) {
            return false;
        }
        const Poco::Dynamic::Var value = this->object->get(name);
        if (!value.isBoolean()) {
            this->blame(name, "must be true or false");
            return false;
        }
        return value.convert<bool>();
    }

    std::vector<std::string> texts(const std::string &name, const std::vector<std::string> &allowed)
    {
        std::vector<std::string> found;
        if (!this->present(name)) {
            return found;
        }
        const Poco::JSON::Array::Ptr array = this->object->getArray(name);
        if (array.isNull()) {
            this->blame(name, "must be a list");
            return found;
        }
        for (std::size_t i = 0; i < array->size(); ++i) {
            const std::string text = array->get(static_cast<unsigned>(i)).toString();
            if (std::find(allowed.begin(), allowed.end(), text) == allowed.end()) {
                this->blame(name, "holds " + text + ", which is not allowed there");
            }
            found.push_back(text);
        }
        return found;
    }

    void require(const std::string &name)
    {
        if (!this->present(name)) {
            this->blame(name, "is missing; add it");
        }
    }

    template<typename T>
    Result<T> finish(T value)
    {
        if (!this->fault.empty()) {
            return fail(ErrorKind::BadDeclaration, this->fault);
        }
        return value;
    }

private:
    static std::string trimmed(double value)
    {
        std::string text = std::to_string(value);
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.') {
            text.pop_back();
        }
        return text;
    }

    bool present(const std::string &name) const
    {
        return !this->object.isNull() && this->object->has(name) && !this->object->isNull(name);
    }

    void blame(const std::string &name, const std::string &why)
    {
        if (this->fault.empty()) {
            this->fault = (name.empty() ? "the declaration" : "field " + name) + " " + why;
        }
    }

    Poco::JSON::Object::Ptr object; ///< Null where the text was no object.
    std::string fault; ///< The first fault; empty where there is none.
};

} // namespace

Result<TenantDeclaration> parseTenant(const std::string &name, const std::string &json)
{
    FieldReader fields(json, {"rate", "burst", "weight"});
    fields.require("rate");
    fields.require("burst");
    TenantDeclaration tenant;
    tenant.id = TenantId{name};
    tenant.ratePerSecond = fields.number("rate", 0.001, MaxRate, 1);
    tenant.burst = fields.number("burst", 1, MaxRate, 1);
    tenant.weight = fields.number("weight", 0.01, 100, 1);
    return fields.finish(tenant);
}

Result<ModelDeclaration> parseModel(const std::string &name, const std::string &json)
{
    FieldReader fields(json, {"max_tokens", "timeout_ms", "replicas"});
    ModelDeclaration model;
    model.id = ModelId{name};
    model.maxTokens = static_cast<std::uint32_t>(fields.number("max_tokens", 1, 1e6, DefaultMaxTokens));
    model.timeoutMs = static_cast<std::int64_t>(fields.number("timeout_ms", 1, MaxTimeoutMs, DefaultTimeoutMs));
    model.replicas = static_cast<std::uint32_t>(fields.number("replicas", 0, 1e5, 0));
    return fields.finish(model);
}

Result<ServiceDeclaration> parseService(const std::string &name, const std::string &json)
{
    static const std::vector<std::string> Methods = {"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"};
    FieldReader fields(json, {"idempotent_methods", "timeout_ms", "open", "checks_fencing"});
    ServiceDeclaration service;
    service.id = ServiceId{name};
    service.idempotentMethods = fields.texts("idempotent_methods", Methods);
    service.timeoutMs = static_cast<std::int64_t>(fields.number("timeout_ms", 1, MaxTimeoutMs, DefaultTimeoutMs));
    service.open = fields.flag("open");
    service.checksFencing = fields.flag("checks_fencing");
    return fields.finish(service);
}

Result<SiteDeclaration> parseSite(const std::string &json)
{
    FieldReader fields(json, {"default_calls", "default_tokens", "default_seconds", "max_depth", "retention_seconds"});
    SiteDeclaration site;
    site.defaultCalls = static_cast<std::uint64_t>(fields.number("default_calls", 1, 1e6, DefaultCalls));
    site.defaultTokens = static_cast<std::uint64_t>(fields.number("default_tokens", 1, 1e9, DefaultTokens));
    site.defaultMs = static_cast<std::uint64_t>(fields.number("default_seconds", 1, 1e7, DefaultMs / 1e3) * 1e3);
    site.maxDepth = static_cast<std::uint32_t>(fields.number("max_depth", 0, 64, DefaultDepth));
    site.retentionMs =
        static_cast<std::int64_t>(fields.number("retention_seconds", 0, 1e7, DefaultRetentionMs / 1e3) * 1e3);
    return fields.finish(site);
}

Result<void> checkDeclaration(const std::string &section, const std::string &name, const std::string &json)
{
    const auto drop = [](auto &&parsed) -> Result<void> {
        if (!parsed) {
            return tl::unexpected(parsed.error());
        }
        return {};
    };
    if (section == "tenants") {
        return drop(parseTenant(name, json));
    }
    if (section == "models") {
        return drop(parseModel(name, json));
    }
    if (section == "services") {
        return drop(parseService(name, json));
    }
    if (section == "site") {
        return drop(parseSite(json));
    }
    return fail(
        ErrorKind::BadDeclaration, "section " + section + " is not known; use tenants, models, services or site");
}

} // namespace Chestnuthook
