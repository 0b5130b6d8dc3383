#include "Report.h"
#include <array>
#include <cstdio>
#include <string>
#include <string_view>

namespace hyssopcross::bench {

namespace {

constexpr std::string_view Baseline = "two choices";
constexpr double MaxP99Ratio = 0.5;
constexpr double MinGoodputShare = 0.95;
constexpr double MinService = 0.95;

constexpr size_t Columns = 14;
using Cells = std::array<std::string, Columns>;

std::string format(const char *Pattern, double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), Pattern, Value);
  return Buffer;
}

const Row *find(std::span<const Row> Rows, const Row &Like,
                std::string_view Policy, double Load) {
  for (const Row &Row : Rows)
    if (Row.m_Size == Like.m_Size && Row.m_Case == Like.m_Case &&
        Row.m_Load == Load && Row.m_Policy->m_Name == Policy)
      return &Row;
  return nullptr;
}

std::string ratio(double Value, double To) {
  return To > 0 ? format("%.2f", Value / To) : std::string("-");
}

Cells cellsOf(const Row &Row, const Figures &Base) {
  const Figures &Own = Row.m_Figures;
  return {Row.m_Size->m_Name,
          Row.m_Case->m_Name,
          format("%.0f%%", Row.m_Load * 100),
          Row.m_Policy->m_Name,
          format("%.1f", Own.m_P50),
          format("%.1f", Own.m_P99),
          format("%.1f", Own.m_P999),
          format("%.0f", Own.m_Goodput),
          ratio(Own.m_P50, Base.m_P50),
          ratio(Own.m_P99, Base.m_P99),
          ratio(Own.m_P999, Base.m_P999),
          ratio(Own.m_Goodput, Base.m_Goodput),
          format("%.2f", Own.m_NotRun * 100) + " / " +
              format("%.2f", Own.m_Unknown * 100),
          format("%.3f", Own.m_LowestService)};
}

const Cells Titles = {"site",
                      "case",
                      "load",
                      "policy",
                      "p50 ms",
                      "p99 ms",
                      "p99.9 ms",
                      "goodput/s",
                      "p50 ratio",
                      "p99 ratio",
                      "p99.9 ratio",
                      "goodput ratio",
                      "not run / unknown %",
                      "lowest service"};

void printRow(std::ostream &Out, const Cells &Row, Format Format) {
  constexpr std::array<int, Columns> Widths = {12, 16, 6,  17, 7,  8,  9,
                                               10, 10, 10, 12, 14, 20, 14};
  if (Format == Format::Markdown)
    Out << "|";
  for (size_t I = 0; I < Columns; ++I) {
    if (Format == Format::Markdown) {
      Out << " " << Row[I] << " |";
      continue;
    }
    std::string Padded = Row[I];
    Padded.resize(std::max(Padded.size(), static_cast<size_t>(Widths[I])), ' ');
    Out << Padded;
  }
  Out << "\n";
}

void printTarget(std::ostream &Out, Format Format, const Row &Row,
                 const std::string &What, double Value, bool Met) {
  Out << (Format == Format::Markdown ? "- " : "") << Row.m_Size->m_Name << ", "
      << Row.m_Case->m_Name << ", " << format("%.0f%%", Row.m_Load * 100)
      << ": " << What << " is " << format("%.3f", Value) << ": "
      << (Met ? "met" : "not met") << "\n";
}

void printTargetsOf(std::ostream &Out, std::span<const Row> Rows,
                    const Row &Row, Format Format) {
  const Figures &Own = Row.m_Figures;
  bool Slowed = Row.m_Case->m_Kind == CaseKind::SlowedServers ||
                Row.m_Case->m_Kind == CaseKind::SlowedIndependent;
  if (Slowed) {
    double Base = find(Rows, Row, Baseline, Row.m_Load)->m_Figures.m_P99;
    printTarget(Out, Format, Row,
                "p99 over that of two choices (at most 0.5; " +
                    ratio(Own.m_AloneP99, Base) + " for calls run alone)",
                Own.m_P99 / Base, Own.m_P99 / Base <= MaxP99Ratio);
  }
  if (Row.m_Case->m_Kind == CaseKind::Steady && Row.m_Load == 1.1) {
    double Share =
        Own.m_Goodput /
        find(Rows, Row, Row.m_Policy->m_Name, 1.0)->m_Figures.m_Goodput;
    printTarget(Out, Format, Row, "goodput over that at 100% (at least 0.95)",
                Share, Share >= MinGoodputShare);
  }
  if (Row.m_Case->m_Kind == CaseKind::DataCentreOut)
    printTarget(Out, Format, Row,
                "lowest service over the capacity left (at least 0.95)",
                Own.m_LowestService, Own.m_LowestService >= MinService);
}

} // namespace

void printTable(std::ostream &Out, std::span<const Row> Rows, Format Format) {
  printRow(Out, Titles, Format);
  if (Format == Format::Markdown) {
    Cells Rule;
    Rule.fill("---");
    printRow(Out, Rule, Format);
  }
  for (const Row &Row : Rows)
    printRow(Out,
             cellsOf(Row, find(Rows, Row, Baseline, Row.m_Load)->m_Figures),
             Format);
}

void printTargets(std::ostream &Out, std::span<const Row> Rows, Format Format) {
  for (const Row &Row : Rows)
    if (Row.m_Policy == allPolicies().data())
      printTargetsOf(Out, Rows, Row, Format);
}

} // namespace hyssopcross::bench
