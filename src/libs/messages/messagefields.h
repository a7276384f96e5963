#pragma once

#include "cluster/clustercodec.h"
#include "peermessages.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <tuple>
#include <type_traits>

namespace Medlar::Messages::Internal {

// The highest valid value of each enumeration on the wire.
constexpr SealReason lastValue(SealReason /*unused*/)
{
    return SealReason::ConfirmedDead;
}
constexpr RequestClass lastValue(RequestClass /*unused*/)
{
    return RequestClass::Bulk;
}
constexpr Outcome lastValue(Outcome /*unused*/)
{
    return Outcome::Unknown;
}

constexpr BackendState lastValue(BackendState /*unused*/)
{
    return BackendState::Evacuated;
}
constexpr StoreCall::Kind lastValue(StoreCall::Kind /*unused*/)
{
    return StoreCall::Kind::Version;
}

/*! Fields of an element of a list, in the order on the wire. */
template<typename Element>
constexpr auto ElementFields = std::make_tuple();
template<>
inline constexpr auto ElementFields<RateDemand> = std::make_tuple(
    &RateDemand::account, &RateDemand::used, &RateDemand::returned, &RateDemand::unneeded,
    &RateDemand::overdrawn, &RateDemand::waiting, &RateDemand::wanted, &RateDemand::held,
    &RateDemand::level);
template<>
inline constexpr auto ElementFields<RateGrant> = std::make_tuple(
    &RateGrant::account, &RateGrant::granted, &RateGrant::refused, &RateGrant::credits,
    &RateGrant::level, &RateGrant::askAfter, &RateGrant::retryAfter);

/*! Longest accepted list in a message. */
constexpr std::size_t MaxElements = 100000;

/*! Reads the fields of a message in order. After a field of a wrong type the reader stays invalid.
 */
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &array) : m_array(array) {}

    template<typename... Fields>
    void operator()(Fields &...fields)
    {
        (readNext(fields), ...);
    }

    /*! All fields were valid and none is left over. */
    bool isComplete() const { return m_valid && m_position == m_array.size(); }

private:
    using Json = nlohmann::json;

    template<typename T>
    void readNext(T &out)
    {
        m_valid = m_valid && m_position < m_array.size() && read(m_array[m_position], out);
        ++m_position;
    }

    static bool read(const Json &json, std::string &out)
    {
        if (!json.is_binary())
            return false;
        const auto &bytes = json.get_binary();
        out.assign(bytes.begin(), bytes.end());
        return true;
    }
    static bool read(const Json &json, Base::SharedBytes &out)
    {
        std::string bytes;
        if (!read(json, bytes))
            return false;
        out = std::move(bytes);
        return true;
    }
    static bool read(const Json &json, bool &out)
    {
        if (!json.is_boolean())
            return false;
        out = json.get<bool>();
        return true;
    }
    static bool read(const Json &json, Base::InstanceId &out)
    {
        if (!json.is_string())
            return false;
        auto id = Base::InstanceId::parse(json.get_ref<const std::string &>());
        if (!id)
            return false;
        out = std::move(*id);
        return true;
    }
    template<typename Period>
    static bool read(const Json &json, std::chrono::duration<std::int64_t, Period> &out)
    {
        if (!json.is_number_integer())
            return false;
        out = std::chrono::duration<std::int64_t, Period>(json.get<std::int64_t>());
        return true;
    }
    static bool read(const Json &json, Cluster::SlotAssignment &out)
    {
        auto assignment = Cluster::slotAssignmentFromJson(json);
        if (!assignment)
            return false;
        out = std::move(*assignment);
        return true;
    }
    static bool read(const Json &json, SlotEpoch &out)
    {
        return isPair(json) && read(json[0], out.slot) && read(json[1], out.epoch);
    }
    static bool read(const Json &json, SlotWeight &out)
    {
        return isPair(json) && read(json[0], out.slot) && read(json[1], out.requests);
    }
    static bool read(const Json &json, ObjectChanged &out)
    {
        return json.is_array() && json.size() == 3 && read(json[0], out.key)
               && read(json[1], out.version) && read(json[2], out.value);
    }
    static bool read(const Json &json, KeyRangeLoad &out)
    {
        return json.is_array() && json.size() == 3 && read(json[0], out.first)
               && read(json[1], out.last) && read(json[2], out.load);
    }
    template<typename Element>
    static bool readElement(const Json &json, Element &out)
    {
        return std::apply(
            [&](auto... members) {
                std::size_t position = 0;
                return json.is_array() && json.size() == sizeof...(members)
                       && (read(json[position++], out.*members) && ...);
            },
            ElementFields<Element>);
    }
    static bool read(const Json &json, RateDemand &out) { return readElement(json, out); }
    static bool read(const Json &json, RateGrant &out) { return readElement(json, out); }
    template<typename First, typename Second>
    static bool read(const Json &json, std::pair<First, Second> &out)
    {
        return isPair(json) && read(json[0], out.first) && read(json[1], out.second);
    }
    template<typename T>
    static bool read(const Json &json, std::optional<T> &out)
    {
        if (json.is_null()) {
            out.reset();
            return true;
        }
        return read(json, out.emplace());
    }
    template<typename T>
    static bool read(const Json &json, std::vector<T> &out)
    {
        if (!json.is_array() || json.size() > MaxElements)
            return false;
        out.resize(json.size());
        for (std::size_t i = 0; i < json.size(); ++i) {
            if (!read(json[i], out[i]))
                return false;
        }
        return true;
    }
    template<typename Key, typename T>
    static bool read(const Json &json, std::map<Key, T> &out)
    {
        std::vector<std::pair<Key, T>> pairs;
        if (!read(json, pairs))
            return false;
        out = std::map<Key, T>(pairs.begin(), pairs.end());
        return out.size() == pairs.size();
    }
    template<typename Number>
    static std::enable_if_t<std::is_unsigned_v<Number>, bool> read(const Json &json, Number &out)
    {
        if (!json.is_number_unsigned()
            || json.get<std::uint64_t>() > std::numeric_limits<Number>::max())
            return false;
        out = json.get<Number>();
        return true;
    }
    template<typename Enum>
    static std::enable_if_t<std::is_enum_v<Enum>, bool> read(const Json &json, Enum &out)
    {
        std::uint8_t number = 0;
        if (!read(json, number) || number > static_cast<std::uint8_t>(lastValue(Enum())))
            return false;
        out = static_cast<Enum>(number);
        return true;
    }

    static bool isPair(const Json &json) { return json.is_array() && json.size() == 2; }

    const Json &m_array;
    std::size_t m_position = 1; // the first element is the message type
    bool m_valid = true;
};

// The field order of each message on the wire. Messages of different versions are not compatible.

template<typename Message>
struct FieldList;

template<>
struct FieldList<AdoptTerm>
{
    static constexpr auto Members
        = std::make_tuple(&AdoptTerm::holder, &AdoptTerm::term, &AdoptTerm::witnesses);
};

template<>
struct FieldList<TermAdopted>
{
    static constexpr auto Members
        = std::make_tuple(&TermAdopted::holder, &TermAdopted::term, &TermAdopted::accepted);
};

template<>
struct FieldList<RenewLease>
{
    static constexpr auto Members
        = std::make_tuple(&RenewLease::holder, &RenewLease::term, &RenewLease::sequence);
};

template<>
struct FieldList<LeaseGranted>
{
    static constexpr auto Members
        = std::make_tuple(&LeaseGranted::holder, &LeaseGranted::term, &LeaseGranted::sequence);
};

template<>
struct FieldList<LeaseRefused>
{
    static constexpr auto Members
        = std::make_tuple(&LeaseRefused::holder, &LeaseRefused::term, &LeaseRefused::sequence,
                          &LeaseRefused::sealPromised);
};

template<>
struct FieldList<SealProposal>
{
    static constexpr auto Members = std::make_tuple(&SealProposal::instance, &SealProposal::term);
};

template<>
struct FieldList<SealPromise>
{
    static constexpr auto Members
        = std::make_tuple(&SealPromise::instance, &SealPromise::term, &SealPromise::promised);
};

template<>
struct FieldList<Sealed>
{
    static constexpr auto Members
        = std::make_tuple(&Sealed::instance, &Sealed::reason, &Sealed::relay);
};

template<>
struct FieldList<ReleaseRequest>
{
    static constexpr auto Members
        = std::make_tuple(&ReleaseRequest::service, &ReleaseRequest::assignments);
};

template<>
struct FieldList<Released>
{
    static constexpr auto Members = std::make_tuple(&Released::service, &Released::slots);
};

template<>
struct FieldList<EntriesChanged>
{
    static constexpr auto Members = std::make_tuple(
        &EntriesChanged::service, &EntriesChanged::slotCount, &EntriesChanged::assignments);
};

template<>
struct FieldList<ObjectDelta>
{
    static constexpr auto Members = std::make_tuple(&ObjectDelta::key, &ObjectDelta::baseVersion,
                                                    &ObjectDelta::version, &ObjectDelta::delta);
};

template<>
struct FieldList<ObjectChanged>
{
    static constexpr auto Members
        = std::make_tuple(&ObjectChanged::key, &ObjectChanged::version, &ObjectChanged::value);
};

template<>
struct FieldList<Digest>
{
    static constexpr auto Members = std::make_tuple(&Digest::objectsHash, &Digest::sealsHash);
};

template<>
struct FieldList<DigestReply>
{
    static constexpr auto Members
        = std::make_tuple(&DigestReply::versions, &DigestReply::sealed, &DigestReply::wantsReply);
};

template<>
struct FieldList<Acknowledged>
{
    static constexpr auto Members
        = std::make_tuple(&Acknowledged::instance, &Acknowledged::configurationVersion);
};

template<>
struct FieldList<ForwardRequest>
{
    static constexpr auto Members = std::make_tuple(
        &ForwardRequest::streamId, &ForwardRequest::requestId, &ForwardRequest::account,
        &ForwardRequest::route, &ForwardRequest::service, &ForwardRequest::key,
        &ForwardRequest::slot, &ForwardRequest::epoch, &ForwardRequest::configurationVersion,
        &ForwardRequest::deadlineLeft, &ForwardRequest::requestClass, &ForwardRequest::idempotent,
        &ForwardRequest::method, &ForwardRequest::target, &ForwardRequest::headers,
        &ForwardRequest::body, &ForwardRequest::priority, &ForwardRequest::targetLeft,
        &ForwardRequest::isRepeat);
};

template<>
struct FieldList<ForwardResponse>
{
    static constexpr auto Members = std::make_tuple(
        &ForwardResponse::streamId, &ForwardResponse::requestId, &ForwardResponse::outcome,
        &ForwardResponse::status, &ForwardResponse::error, &ForwardResponse::newerEpoch,
        &ForwardResponse::headers, &ForwardResponse::body, &ForwardResponse::running,
        &ForwardResponse::waiting, &ForwardResponse::retryAfter, &ForwardResponse::isCall);
};

template<>
struct FieldList<CancelRequest>
{
    static constexpr auto Members
        = std::make_tuple(&CancelRequest::streamId, &CancelRequest::requestId);
};

template<>
struct FieldList<LoadSummary>
{
    static constexpr auto Members
        = std::make_tuple(&LoadSummary::instance, &LoadSummary::service, &LoadSummary::window,
                          &LoadSummary::slots, &LoadSummary::hotKeys, &LoadSummary::requests);
};

template<>
struct FieldList<SlotsServed>
{
    static constexpr auto Members
        = std::make_tuple(&SlotsServed::instance, &SlotsServed::service, &SlotsServed::slots);
};

template<>
struct FieldList<NodeStatus>
{
    static constexpr auto Members = std::make_tuple(
        &NodeStatus::region, &NodeStatus::availabilityZone, &NodeStatus::service,
        &NodeStatus::backend, &NodeStatus::state, &NodeStatus::slots,
        &NodeStatus::configurationVersion, &NodeStatus::rangeVersion,
        &NodeStatus::evacuationRevision, &NodeStatus::evacuatedZones, &NodeStatus::reachesStore);
};

template<>
struct FieldList<ObjectRequest>
{
    static constexpr auto Members = std::make_tuple(&ObjectRequest::key);
};

template<>
struct FieldList<NodeLoad>
{
    static constexpr auto Members
        = std::make_tuple(&NodeLoad::running, &NodeLoad::waiting, &NodeLoad::serviceTime,
                          &NodeLoad::usualServiceTime);
};

template<>
struct FieldList<StoreCall>
{
    static constexpr auto Members
        = std::make_tuple(&StoreCall::callId, &StoreCall::kind, &StoreCall::key, &StoreCall::value,
                          &StoreCall::expected);
};

template<>
struct FieldList<StoreReply>
{
    static constexpr auto Members
        = std::make_tuple(&StoreReply::callId, &StoreReply::error, &StoreReply::detail,
                          &StoreReply::version, &StoreReply::objects);
};

template<>
struct FieldList<RangeChange>
{
    static constexpr auto Members
        = std::make_tuple(&RangeChange::key, &RangeChange::baseVersion, &RangeChange::delta);
};

template<>
struct FieldList<NodeNotice>
{
    static constexpr auto Members = std::make_tuple(&NodeNotice::backend, &NodeNotice::isLeaving,
                                                    &NodeNotice::limitThousandths);
};

template<>
struct FieldList<KeyRangeLoads>
{
    static constexpr auto Members
        = std::make_tuple(&KeyRangeLoads::service, &KeyRangeLoads::ranges);
};

template<>
struct FieldList<RateReport>
{
    static constexpr auto Members
        = std::make_tuple(&RateReport::sequence, &RateReport::isFirst, &RateReport::accounts);
};

template<>
struct FieldList<RateAllotment>
{
    static constexpr auto Members
        = std::make_tuple(&RateAllotment::sequence, &RateAllotment::accounts);
};

template<typename Message>
constexpr std::size_t FieldCount = std::tuple_size_v<decltype(FieldList<Message>::Members)>;

/*! Passes all fields of \a message, in the order on the wire, to \a visit. */
template<typename Message, typename Visitor>
void visitFields(Message &message, Visitor &visit)
{
    std::apply([&](auto... members) { visit(message.*members...); },
               FieldList<std::remove_const_t<Message>>::Members);
}
} // namespace Medlar::Messages::Internal
