#include "rangeloadmeter.h"

#include <algorithm>

namespace Medlar::KeyRange {

namespace {

// Weight of the latest window in the moving average. Hot keys change within seconds, so older
// windows must lose their weight quickly.
constexpr float SmoothingFactor = 0.5F;
// Averages below this number of busy slots are rounded down to zero.
constexpr float IdleThreshold = 1e-4F;

using Seconds = std::chrono::duration<float>;

} // namespace

RangeLoadMeter::RangeLoadMeter() : m_window(LastKey + 1), m_average(LastKey + 1) {}

void RangeLoadMeter::add(Key key, Base::Duration typicalServiceTime)
{
    if (key <= LastKey)
        m_window[key] += std::chrono::duration_cast<Seconds>(typicalServiceTime).count();
}

std::vector<RangeLoad>
RangeLoadMeter::report(Base::TimePoint now, const std::vector<RangeRow> &rows, double maxPieceLoad)
{
    const float windowLength
        = std::max(0.001F, std::chrono::duration_cast<Seconds>(now - m_windowStart).count());
    for (std::size_t key = 0; key < m_window.size(); ++key) {
        const float rate = m_hasWindow ? m_window[key] / windowLength : 0.0F;
        m_average[key] += (rate - m_average[key]) * SmoothingFactor;
        if (m_average[key] < IdleThreshold)
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
            // Starts a new piece before a busy key, and where the load of the current piece would
            // exceed the limit.
            const bool isFull = piece.busySlots > 0.0 && piece.busySlots + load > maxPieceLoad;
            const bool startsBusyPiece
                = key != piece.range.first && load > maxPieceLoad / 2 && piece.busySlots < load / 2;
            if (isFull || startsBusyPiece) {
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
