#include "rangeloadmeter.h"

#include <algorithm>

namespace Medlar::KeyRange {

namespace {

// Weight of the latest window in the moving average. Hot keys change within seconds, so older
// windows must lose their weight quickly.
constexpr float NewShare = 0.5F;
// Averages below this number of busy slots are rounded down to zero.
constexpr float Negligible = 1e-4F;

using Seconds = std::chrono::duration<float>;

} // namespace

RangeLoadMeter::RangeLoadMeter() : m_window(LastKey + 1), m_average(LastKey + 1) {}

void RangeLoadMeter::add(Key key, Base::Duration usual)
{
    if (key <= LastKey)
        m_window[key] += std::chrono::duration_cast<Seconds>(usual).count();
}

std::vector<RangeLoad> RangeLoadMeter::report(Base::TimePoint now,
                                              const std::vector<RangeRow> &rows, double pieceLoad)
{
    const float length
        = std::max(0.001F, std::chrono::duration_cast<Seconds>(now - m_windowStart).count());
    for (std::size_t key = 0; key < m_window.size(); ++key) {
        const float rate = m_hasWindow ? m_window[key] / length : 0.0F;
        m_average[key] += (rate - m_average[key]) * NewShare;
        if (m_average[key] < Negligible)
            m_average[key] = 0.0F;
        m_window[key] = 0.0F;
    }
    m_windowStart = now;
    m_hasWindow = true;

    std::vector<RangeLoad> result;
    for (const RangeRow &row : rows) {
        RangeLoad piece{{row.range.first, row.range.first}, 0.0};
        for (Key key = row.range.first; key <= row.range.last; ++key) {
            const double load = m_average[key];
            // Starts a new piece at the first of several busy keys, and where the load of the
            // current piece would exceed the limit.
            const bool isFull = piece.busySlots > 0.0 && piece.busySlots + load > pieceLoad;
            const bool startsBusy
                = key != piece.range.first && load > pieceLoad / 2 && piece.busySlots < load / 2;
            if (isFull || startsBusy) {
                result.push_back(piece);
                piece = {{key, key}, 0.0};
            }
            piece.range.last = key;
            piece.busySlots += load;
        }
        result.push_back(piece);
    }
    return result;
}

} // namespace Medlar::KeyRange
