/** @file declaration_func.cpp  Validates and parses the fields of declarations according to the field table. */
#include "fleet/declaration_func.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include "fleet/declaration_table.h"

namespace Chestnuthook
{

namespace
{

using Poco::Dynamic::Var;

constexpr double MsPerSecond = 1e3;

std::string formatNumber(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
        text.pop_back();
    }
    return text;
}

std::vector<std::string_view> fieldNames(const SectionRow &section)
{
    std::vector<std::string_view> names;
    for (const FieldRow &row : section.fields) {
        names.push_back(row.name);
    }
    return names;
}

/** Validates one item against its section and collects the faults. */
class FieldChecker
{
public:
    FieldChecker(const SectionRow &section, const Poco::JSON::Object &object)
        : section(section)
        , object(object)
    {
    }

    std::vector<FieldFault> run()
    {
        for (const std::string &name : this->object.getNames()) {
            if (findField(this->section, name) == nullptr) {
                this->addUnknownFieldFault(name);
            }
        }
        for (const FieldRow &row : this->section.fields) {
            const std::string name(row.name);
            if (this->object.has(name) && !this->object.isNull(name)) {
                this->checkValue(row, this->object.get(name));
            } else if (row.required) {
                this->addFault({}, "field " + name + " is missing", "add " + name + ": " + std::string(row.remedy));
            }
        }
        return std::move(this->faults);
    }

private:
    void addFault(std::vector<std::string> path, std::string what, std::string remedy)
    {
        this->faults.push_back(FieldFault{std::move(path), std::move(what), std::move(remedy)});
    }

    void addUnknownFieldFault(const std::string &name)
    {
        const std::string suggestion = nearestName(name, fieldNames(this->section));
        std::string known;
        for (const std::string_view field : fieldNames(this->section)) {
            known += known.empty() ? "" : ", ";
            known += field;
        }
        this->addFault({name}, "is not a field of " + std::string(this->section.name),
            suggestion.empty() ? "remove it; the fields are " + known : "did you mean " + suggestion + "?");
    }

    void checkNumber(const FieldRow &row, std::vector<std::string> path, const Var &value)
    {
        const bool whole = row.type != FieldType::Number;
        if (!value.isNumeric() || value.isBoolean()) {
            const std::string quoted = value.isString() ? ", not text; write it without quotes" : "";
            this->addFault(std::move(path), whole ? "must be a whole number" + quoted : "must be a number" + quoted,
                std::string(row.remedy));
            return;
        }
        const auto number = value.convert<double>();
        if (whole && number != std::floor(number)) {
            this->addFault(std::move(path), "must be a whole number", std::string(row.remedy));
        } else if (!(number >= row.minimum && number <= row.maximum)) {
            this->addFault(std::move(path),
                "must be from " + formatNumber(row.minimum) + " to " + formatNumber(row.maximum),
                std::string(row.remedy));
        }
    }

    void checkTextList(const FieldRow &row, const std::string &name, const Var &value)
    {
        if (value.type() != typeid(Poco::JSON::Array::Ptr)) {
            this->addFault({name}, "must be a list", std::string(row.remedy));
            return;
        }
        const auto &array = value.extract<Poco::JSON::Array::Ptr>();
        for (unsigned i = 0; i < array->size(); ++i) {
            const Var part = array->get(i);
            const std::string text = part.isString() ? part.convert<std::string>() : "";
            const bool allowed = row.allowed.empty()
                ? !text.empty()
                : std::find(row.allowed.begin(), row.allowed.end(), text) != row.allowed.end();
            if (!allowed) {
                this->addFault({name, std::to_string(i)},
                    (text.empty() ? "what stands there" : text) + " is not allowed", std::string(row.remedy));
            }
        }
    }

    void checkCounts(const FieldRow &row, const std::string &name, const Var &value)
    {
        if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
            this->addFault({name}, "must be a map of names to whole numbers", std::string(row.remedy));
            return;
        }
        const auto &map = value.extract<Poco::JSON::Object::Ptr>();
        for (const std::string &key : map->getNames()) {
            if (!isPlainName(key)) {
                this->addFault({name, key}, "is not a plain name",
                    "use lower-case letters, digits, '-', '_' and '.', a letter first");
            }
            this->checkNumber(row, {name, key}, map->get(key));
        }
    }

    void checkValue(const FieldRow &row, const Var &value)
    {
        const std::string name(row.name);
        switch (row.type) {
        case FieldType::Number:
        case FieldType::Whole:
            this->checkNumber(row, {name}, value);
            return;
        case FieldType::Flag:
            if (!value.isBoolean()) {
                this->addFault({name}, "must be true or false", std::string(row.remedy));
            }
            return;
        case FieldType::Text:
            if (!value.isString() || value.convert<std::string>().empty()) {
                this->addFault({name}, "must be a text", std::string(row.remedy));
            }
            return;
        case FieldType::Texts:
            this->checkTextList(row, name, value);
            return;
        case FieldType::Counts:
            this->checkCounts(row, name, value);
            return;
        }
    }

    const SectionRow &section; ///< Section that the item belongs to.
    const Poco::JSON::Object &object; ///< Item to validate.
    std::vector<FieldFault> faults; ///< Faults found so far.
};

/** Adds faults of rules that go beyond the type and bounds of a single field. */
void addCrossFieldFaults(const SectionRow &section, const Poco::JSON::Object &object, std::vector<FieldFault> &faults)
{
    if (section.name == "pools" && object.has("model") == object.has("service")) {
        faults.push_back({{}, "a pool serves either a model or a service", "give one of model and service"});
    }
    if (section.name == "routes" && object.has("path") && !object.optValue<std::string>("path", "/").starts_with('/')) {
        faults.push_back({{"path"}, "must begin with /", "give the start of a path, such as /prices"});
    }
}

Poco::JSON::Object::Ptr parseObject(const std::string &json)
{
    try {
        return Poco::JSON::Parser().parse(json).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return nullptr;
    }
}

/** Reads the fields of a valid item; a missing number has the default value of its field. */
class FieldReader
{
public:
    static Result<FieldReader> open(const std::string &section, const std::string &name, const std::string &json)
    {
        const Result<void> checked = checkDeclaration(section, name, json);
        if (!checked) {
            return tl::unexpected(checked.error());
        }
        return FieldReader(*findSection(section), parseObject(json));
    }

    [[nodiscard]] double number(const std::string &name) const
    {
        return this->has(name) ? this->object->getValue<double>(name) : findField(this->section, name)->defaultValue;
    }
    template<typename Number>
    [[nodiscard]] Number whole(const std::string &name) const
    {
        return static_cast<Number>(std::llround(this->number(name)));
    }
    [[nodiscard]] bool flag(const std::string &name) const
    {
        return this->has(name) && this->object->getValue<bool>(name);
    }
    [[nodiscard]] std::string text(const std::string &name) const
    {
        return this->has(name) ? this->object->getValue<std::string>(name) : "";
    }
    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const
    {
        std::vector<std::string> found;
        if (this->has(name)) {
            const Poco::JSON::Array::Ptr array = this->object->getArray(name);
            for (unsigned i = 0; i < array->size(); ++i) {
                found.push_back(array->getElement<std::string>(i));
            }
        }
        return found;
    }
    [[nodiscard]] std::map<DataCentreId, std::uint32_t> counts(const std::string &name) const
    {
        std::map<DataCentreId, std::uint32_t> found;
        if (this->has(name)) {
            const Poco::JSON::Object::Ptr map = this->object->getObject(name);
            for (const std::string &key : map->getNames()) {
                found[DataCentreId{key}] = map->getValue<std::uint32_t>(key);
            }
        }
        return found;
    }

private:
    FieldReader(const SectionRow &section, Poco::JSON::Object::Ptr object)
        : section(section)
        , object(std::move(object))
    {
    }

    [[nodiscard]] bool has(const std::string &name) const
    {
        return this->object->has(name) && !this->object->isNull(name);
    }

    const SectionRow &section; ///< Section that the item belongs to.
    Poco::JSON::Object::Ptr object; ///< Never null.
};

} // namespace

Result<CustomerDeclaration> parseCustomer(const std::string &name, const std::string &json)
{
    return FieldReader::open("tenants", name, json).map([&](const FieldReader &fields) {
        CustomerDeclaration customer;
        customer.id = CustomerId{name};
        customer.ratePerSecond = fields.number("rate");
        customer.burst = fields.number("burst");
        customer.weight = fields.number("weight");
        return customer;
    });
}

Result<ModelDeclaration> parseModel(const std::string &name, const std::string &json)
{
    return FieldReader::open("models", name, json).map([&](const FieldReader &fields) {
        ModelDeclaration model;
        model.id = ModelId{name};
        model.maxTokens = fields.whole<std::uint32_t>("max_tokens");
        model.timeoutMs = fields.whole<std::int64_t>("timeout_ms");
        model.replicas = fields.whole<std::uint32_t>("replicas");
        return model;
    });
}

Result<AdapterDeclaration> parseAdapter(const std::string &name, const std::string &json)
{
    return FieldReader::open("adapters", name, json).map([&](const FieldReader &fields) {
        return AdapterDeclaration{name, ModelId{fields.text("model")}, fields.whole<std::uint32_t>("version")};
    });
}

Result<ServiceDeclaration> parseService(const std::string &name, const std::string &json)
{
    return FieldReader::open("services", name, json).map([&](const FieldReader &fields) {
        ServiceDeclaration service;
        service.id = ServiceId{name};
        service.idempotentMethods = fields.texts("idempotent_methods");
        service.timeoutMs = fields.whole<std::int64_t>("timeout_ms");
        service.open = fields.flag("open");
        service.checksFencing = fields.flag("checks_fencing");
        return service;
    });
}

Result<PoolDeclaration> parsePool(const std::string &name, const std::string &json)
{
    return FieldReader::open("pools", name, json).map([&](const FieldReader &fields) {
        PoolDeclaration pool;
        pool.name = name;
        pool.model = ModelId{fields.text("model")};
        pool.service = ServiceId{fields.text("service")};
        pool.replicas = fields.counts("replicas");
        pool.checksFencing = fields.flag("checks_fencing");
        return pool;
    });
}

Result<RouteDeclaration> parseRoute(const std::string &name, const std::string &json)
{
    return FieldReader::open("routes", name, json).map([&](const FieldReader &fields) {
        return RouteDeclaration{name, ServiceId{fields.text("service")}, fields.text("path"), fields.texts("methods")};
    });
}

Result<SiteDeclaration> parseSite(const std::string &json)
{
    return FieldReader::open("site", "site", json).map([&](const FieldReader &fields) {
        SiteDeclaration site;
        site.defaultCalls = fields.whole<std::uint64_t>("default_calls");
        site.defaultTokens = fields.whole<std::uint64_t>("default_tokens");
        site.defaultMs = static_cast<std::uint64_t>(fields.number("default_seconds") * MsPerSecond);
        site.maxDepth = fields.whole<std::uint32_t>("max_depth");
        site.retentionMs = static_cast<std::int64_t>(fields.number("retention_seconds") * MsPerSecond);
        return site;
    });
}

bool isOpenToAll(
    const ServiceDeclaration &service, const RouteTable &routes, const std::string &method, std::string_view path)
{
    if (service.open) {
        return true;
    }
    // Dot segments, percent escapes and empty segments could resolve to a resource outside the prefix at the service.
    const bool plain = path.find("/.") == std::string_view::npos && path.find('%') == std::string_view::npos
        && path.find("//") == std::string_view::npos;
    return plain && std::any_of(routes.begin(), routes.end(), [&](const auto &row) {
        const RouteDeclaration &route = row.second;
        const bool below = path.starts_with(route.path)
            && (path.size() == route.path.size() || route.path.ends_with('/') || path[route.path.size()] == '/');
        return route.service == service.id && below
            && std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
    });
}

std::vector<FieldFault> declarationFaults(const std::string &section, const std::string &name, const std::string &json)
{
    std::vector<FieldFault> faults;
    const SectionRow *row = findSection(section);
    if (row == nullptr) {
        return {{{}, "section " + section + " is not known", "see the sections in docs/OPERATIONS.md"}};
    }
    if (!isPlainName(name)) {
        faults.push_back(
            {{}, "is not a plain name", "use lower-case letters, digits, '-', '_' and '.', a letter first"});
    }
    const Poco::JSON::Object::Ptr object = parseObject(json);
    if (object.isNull()) {
        faults.push_back({{}, "must be a map of fields", "give the fields by name"});
        return faults;
    }
    const std::vector<FieldFault> found = FieldChecker(*row, *object).run();
    faults.insert(faults.end(), found.begin(), found.end());
    addCrossFieldFaults(*row, *object, faults);
    return faults;
}

Result<void> checkDeclaration(const std::string &section, const std::string &name, const std::string &json)
{
    const std::vector<FieldFault> faults = declarationFaults(section, name, json);
    if (faults.empty()) {
        return {};
    }
    std::string path = section + "." + name;
    for (const std::string &part : faults.front().path) {
        path += "." + part;
    }
    return fail(ErrorKind::BadDeclaration, path + ": " + faults.front().what + "; remedy: " + faults.front().remedy);
}

std::string nearestName(std::string_view word, const std::vector<std::string_view> &names)
{
    constexpr std::size_t MaxEdits = 2;
    std::string nearest;
    std::size_t best = MaxEdits + 1;
    for (const std::string_view name : names) {
        std::vector<std::size_t> edits(name.size() + 1); // Current row of the Levenshtein matrix.
        std::iota(edits.begin(), edits.end(), 0);
        for (std::size_t i = 1; i <= word.size(); ++i) {
            std::size_t diagonal = edits[0]++;
            for (std::size_t j = 1; j <= name.size(); ++j) {
                const std::size_t replaced = diagonal + (word[i - 1] == name[j - 1] ? 0 : 1);
                diagonal = edits[j];
                edits[j] = std::min({edits[j] + 1, edits[j - 1] + 1, replaced});
            }
        }
        if (edits.back() < best) {
            best = edits.back();
            nearest = name;
        }
    }
    return nearest;
}

} // namespace Chestnuthook
