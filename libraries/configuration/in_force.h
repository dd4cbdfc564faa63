#pragma once

#include "configuration/document.h"
#include "configuration/document_store.h"

#include <functional>

namespace ivypier::configuration {

/// Holds the head stored in the platform's table and the document it refers to. Before the first document is
/// accepted, the version is 0 and the document is empty.
struct in_force
{
    document_head head;
    document content;

    auto operator<=>(const in_force &) const = default;
};

/// Reads the head and the document in force from the platform. When the head still equals `known.head`,
/// `done` gets `known` and the document is not read again. `done` gets an `internal` error when the document
/// can't be parsed, or the error of the platform.
void readInForce(document_store &store, const in_force &known, std::function<void(outcome<in_force>)> done);

/// Returns the operator's name from a head's writer token, which has the form `<name>.<random>`.
std::string writerName(const document_head &head);

/// Returns a unique writer token for a submission by the operator `name`.
std::string makeWriterToken(const std::string &name);

} // namespace ivypier::configuration
