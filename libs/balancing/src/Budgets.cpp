#include "Budgets.h"
#include <algorithm>

namespace hyssopcross::balancing {

void earn(Budget &Account, double Share, double Burst) {
  ++Account.m_Earned;
  Account.m_Tokens = std::min(Account.m_Tokens + Share, Burst);
}

bool spend(Budget &Account, bool Enforced) {
  if (Account.m_Tokens < 1.0 && Enforced)
    return false;
  Account.m_Tokens = std::max(Account.m_Tokens - 1.0, 0.0);
  ++Account.m_Spent;
  return true;
}

bool isWithin(const Budget &Account, double Share, double Burst) {
  constexpr double Rounding = 1e-6;
  double Earned = Share * static_cast<double>(Account.m_Earned) + Burst;
  return static_cast<double>(Account.m_Spent) <= Earned * (1.0 + Rounding);
}

} // namespace hyssopcross::balancing
