#pragma once

namespace Medlar::Relay {

/*!
    Allows a share of the requests for one service to be sent again. The nodes together may repeat a
    fifth of the requests that the BackendServers of a service get, including the calls of repeated
    requests.

    Requests of clients may use half of this share, since a repeated request also repeats its calls.
    Calls make no calls themselves: they may use the whole share, less what the repeated requests of
    the BackendServer on this VM have used already. Calls may also use what is left for other
    requests, but not the other way round.
*/
class RepeatBudget
{
public:
    // Commands

    /*! Records a request for the service. \a repeatedShare: share of repeated requests among those
     * that made the calls. */
    void onRequest(bool isCall, double repeatedShare);
    /*! Returns whether a request may be sent again, and counts it if so. */
    bool tryTake(bool isCall);

private:
    double m_calls = 0.0;
    double m_others = Burst;

    /*! Repeats that may be saved, over both kinds. */
    static constexpr double Burst = 2.0;
};

} // namespace Medlar::Relay
