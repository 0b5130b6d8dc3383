#ifndef HYSSOPCROSS_BALANCING_BUDGETS_H
#define HYSSOPCROSS_BALANCING_BUDGETS_H

#include "hyssopcross/balancing/State.h"

namespace hyssopcross::balancing {

/// Adds a share of a token, up to Burst tokens.
void earn(Budget &Account, double Share, double Burst);

/// Takes a token. If Enforced is false the token may be missing.
bool spend(Budget &Account, bool Enforced);

/// Whether no more was spent than was earned and saved up.
bool isWithin(const Budget &Account, double Share, double Burst);

} // namespace hyssopcross::balancing

#endif
