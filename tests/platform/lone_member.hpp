#pragma once

#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "node/catalog_controller.hpp"
#include "tests/platform/process.hpp"

namespace poplarroute::platform
{

/// A group of one member.
struct lone_member : listening_process
{
    /// \param address of the member as hosts know it.
    /// \param listen where its peer port listens.
    /// \param folder for the replicated log.
    lone_member(
        drivers::asio::io_context& io,
        const std::string& address,
        const std::string& listen,
        const std::string& folder)
        : listening_process(io, address, listen)
    {
        board_.section<node::identity_section>().settings_.data_folder_ =
            folder;
        replica_ = std::make_unique<node::catalog_replica>(with_);
        EXPECT_TRUE(core::is_ok(replica_->open()));
        controller_ = std::make_unique<node::catalog_controller>(
            with_, *replica_, codec_);
        replica_->start();
        controller_->start();
        port_.start();
    }

    std::unique_ptr<node::catalog_replica> replica_;
    std::unique_ptr<node::catalog_controller> controller_;
};

} // namespace poplarroute::platform
