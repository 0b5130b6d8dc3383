#ifndef HYSSOPCROSS_BENCH_POLICIES_REPORT_H
#define HYSSOPCROSS_BENCH_POLICIES_REPORT_H

#include "Measure.h"
#include <ostream>

namespace hyssopcross::bench {

/// The medians for one site, case, load and policy.
struct Row {
  const testbed::SiteSize *m_Size = nullptr;
  const Case *m_Case = nullptr;
  const Policy *m_Policy = nullptr;
  double m_Load = 0;
  Figures m_Figures;
};

/// How the report is laid out.
enum class Format { Text, Markdown };

/// Prints the table with ratios to two choices.
void printTable(std::ostream &Out, std::span<const Row> Rows, Format Format);

/// Prints which targets were met.
void printTargets(std::ostream &Out, std::span<const Row> Rows, Format Format);

} // namespace hyssopcross::bench

#endif
