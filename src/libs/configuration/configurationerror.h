#pragma once

#include <string>
#include <vector>

namespace Medlar::Configuration {

/*! Where a value was written. \a line counts from 1; 0 means that the text form has no lines. */
struct SourceLocation
{
    std::string file;
    int line = 0;
};

/*! One fault of a configuration: where it is, what was found and what is accepted there. */
struct ConfigurationError
{
    SourceLocation location;
    std::string field;    //!< path of names, such as templates.lookup.deadline
    std::string value;    //!< as written; empty when something is missing
    std::string problem;  //!< what is wrong with the value
    std::string accepted; //!< the values that are accepted instead

    /*! One line: FILE:LINE: FIELD: "VALUE": PROBLEM; accepted: ACCEPTED. */
    std::string toString() const;
};

bool operator==(const ConfigurationError &a, const ConfigurationError &b);

using ConfigurationErrors = std::vector<ConfigurationError>;

/*! \a text with non-printable bytes replaced by '?' and shortened, for use in messages. */
std::string printable(const std::string &text);

} // namespace Medlar::Configuration
