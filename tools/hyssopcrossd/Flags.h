#ifndef HYSSOPCROSS_HYSSOPCROSSD_FLAGS_H
#define HYSSOPCROSS_HYSSOPCROSSD_FLAGS_H

#include "hyssopcross/entry/Node.h"

namespace hyssopcross {

/// Checks the flags and turns them into the settings of a node. Fails with
/// InvalidInput and a sentence that names the flag.
Result<entry::NodeSettings> settingsFromFlags();

} // namespace hyssopcross

#endif
