#include "hyssopcross/testbed/EventQueue.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>

namespace hyssopcross::testbed {

namespace {

constexpr uint64_t MaxWorkPerInstant = 1000000;

} // namespace

bool EventQueue::isLater(const Item &Left, const Item &Right) {
  if (Left.m_When != Right.m_When)
    return Left.m_When > Right.m_When;
  return Left.m_Order > Right.m_Order;
}

void EventQueue::at(TimePoint When, std::function<void()> Work) {
  m_Heap.push_back({std::max(When, m_Now), ++m_Added, std::move(Work)});
  std::push_heap(m_Heap.begin(), m_Heap.end(), isLater);
}

void EventQueue::runUntil(TimePoint End) {
  while (!m_Heap.empty() && m_Heap.front().m_When <= End) {
    std::pop_heap(m_Heap.begin(), m_Heap.end(), isLater);
    Item Next = std::move(m_Heap.back());
    m_Heap.pop_back();
    m_AtThisInstant = Next.m_When == m_Now ? m_AtThisInstant + 1 : 0;
    bool Moves = m_AtThisInstant < MaxWorkPerInstant;
    HYSSOPCROSS_INVARIANT(Moves, "time moves on between events");
    if (!Moves)
      m_Heap.clear();
    m_Now = Next.m_When;
    if (Moves)
      Next.m_Work();
  }
  m_Now = std::max(m_Now, End);
}

} // namespace hyssopcross::testbed
