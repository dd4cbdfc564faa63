#pragma once

#include "command.h"

namespace ivypier::ctl {

/// Says what is wrong with a document; asks nobody.
class check_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Puts a document in force, whole or not at all, and shows what it changes.
class submit_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the document in force.
class show_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints what a document would change.
class diff_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints which addresses a node tells callers to use.
class entries_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Asks a node to stop gracefully.
class drain_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the state of one node, or of every node that the platform lists.
class status_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

} // namespace ivypier::ctl
