/** @file platform_fuzz.cpp  Fuzzes the decoders for the platform's documents and header fields. Any input must either
 * be decoded or be rejected with an error message. */
#include "fuzz_input.h"
#include "gateway/event_split_func.h"
#include "platform_configuration_func.h"
#include "platform_endpoint_source_base.h"
#include "platform_header_codec_base.h"
#include "platform_settings_type.h"

using namespace Chestnuthook;
using namespace Chestnuthook::Platform;

namespace
{

/** Parses header fields from `name: value` lines. */
HttpFields fieldsOf(const std::string &text)
{
    HttpFields fields;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        const std::string line = text.substr(at, end - at);
        const std::size_t colon = std::min(line.find(": "), line.size());
        fields.add(line.substr(0, colon), colon == line.size() ? "" : line.substr(colon + 2));
        at = end + 1;
    }
    return fields;
}

} // namespace

// The name is set by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text = Fuzz::textOf(data, size);
    const auto configuration = readConfiguration(text);
    Fuzz::require(configuration ? *configuration != nullptr : !configuration.error().what.empty());
    const auto settings = readSettings(text);
    Fuzz::require(settings || !settings.error().what.empty());
    const auto page = readEndpointPage(text);
    Fuzz::require(page || !page.error().what.empty());

    const PlatformHeaderCodec headerCodec;
    RequestHead request{"POST", "/x", fieldsOf(text), true};
    const auto metadata = headerCodec.readRequestMetadata(request);
    Fuzz::require(metadata || !metadata.error().what.empty());
    const RequestHead forwarded = headerCodec.endpointRequestHead(request, ForwardingMetadata());
    Fuzz::require(forwarded.fields.find("Authorization") == nullptr);
    Fuzz::require(forwarded.fields.find("X-Kv-Hold") == nullptr);
    ResponseHead response;
    response.fields = request.fields;
    static_cast<void>(headerCodec.readResponseMetadata(response));

    EventSplitter splitter;
    std::vector<StreamEvent> events;
    const std::string first = splitter.append(std::string_view(text).substr(0, text.size() / 2), events);
    const std::string second = splitter.append(std::string_view(text).substr(text.size() / 2), events);
    Fuzz::require(first + second + splitter.remainder() == text);
    return 0;
}
