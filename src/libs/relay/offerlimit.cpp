#include "offerlimit.h"

namespace Medlar::Relay {

namespace {

// Weight of the latest offer in the moving average of the accepted share.
constexpr double SmoothingFactor = 0.1;
// Below these shares of accepted offers, requests are offered only once, twice or three times.
constexpr double OneOfferBelow = 0.3;
constexpr double TwoOffersBelow = 0.5;
constexpr double ThreeOffersBelow = 0.7;
// Routes come and go with the configuration; those beyond this number are not limited.
constexpr std::size_t MaxRoutes = 1024;

} // namespace

void OfferLimit::onOffered(const std::string &route, bool isAccepted)
{
    auto found = m_acceptedShares.find(route);
    if (found == m_acceptedShares.end()) {
        if (isAccepted || m_acceptedShares.size() >= MaxRoutes)
            return;
        found = m_acceptedShares.emplace(route, 1.0).first;
    }
    found->second += ((isAccepted ? 1.0 : 0.0) - found->second) * SmoothingFactor;
}

unsigned OfferLimit::maxOffers(const std::string &route) const
{
    const auto found = m_acceptedShares.find(route);
    if (found == m_acceptedShares.end() || found->second >= ThreeOffersBelow)
        return MaxOffers;
    if (found->second < OneOfferBelow)
        return 1;
    return found->second < TwoOffersBelow ? 2 : 3;
}

} // namespace Medlar::Relay
