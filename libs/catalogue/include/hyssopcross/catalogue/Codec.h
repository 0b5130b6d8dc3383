#ifndef HYSSOPCROSS_CATALOGUE_CODEC_H
#define HYSSOPCROSS_CATALOGUE_CODEC_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/catalogue/Types.h"
#include <string_view>

namespace hyssopcross::catalogue {

/// The largest catalogue document accepted, in bytes. At 24 services, 11 data
/// centres and 50 VMs out one is about 6 KB.
inline constexpr size_t MaxDocumentBytes = 256U << 10U;

/// The name of a class as documents write it: lookup, money, upload.
const char *serviceClassName(ServiceClass Class);

/// Reads a document in YAML, of which JSON is a part, and validates it.
/// Fails with InvalidInput and a message that names the entry and the field.
/// The version is zero unless the document has one.
Result<Catalogue> readYaml(std::string_view Text);

/// Reads a document in JSON and validates it. Fails like readYaml().
Result<Catalogue> readJson(std::string_view Text);

/// Writes a document that readYaml() reads back unchanged.
std::string writeYaml(const Catalogue &Value);

/// Writes a document on one line that readJson() reads back unchanged.
std::string writeJson(const Catalogue &Value);

/// Checks names, owners and the ranges of limits. Fails with InvalidInput on
/// the first fault, with a message that names the entry and the field.
Result<void> validate(const Catalogue &Value);

} // namespace hyssopcross::catalogue

#endif
