#include "papayafall/platform/configuration/configuration_reader.hpp"

#include "papayafall/platform/store/keys.hpp"
#include "papayafall/wire/configuration/configuration_json.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <utility>

namespace papayafall {

namespace {

/// A read in progress; the callback passed to the store keeps it alive.
class replay : public boost::intrusive_ref_counter<replay, boost::thread_safe_counter> {
  public:
    replay(key_value_store& store, platform_reply<configuration_reading> reply)
        : store_(&store), reply_(std::move(reply))
    {
    }

    void start()
    {
        const boost::intrusive_ptr<replay> self(this);
        store_->get(keys::snapshot(), [self](const platform_result<read_result>& result) {
            self->continue_with(result, &replay::on_snapshot);
        });
    }

  private:
    /// Calls `step` with the value of `result`, or passes its failure to the reply.
    template <typename Value>
    void continue_with(const platform_result<Value>& result, void (replay::*step)(const Value&))
    {
        if (const auto* failure = std::get_if<platform_failure>(&result)) {
            reply_(*failure);
            return;
        }
        try {
            (this->*step)(std::get<Value>(result));
        } catch (const configuration_error& it) {
            reply_(platform_failure{error_id::platform_protocol, write_effect::not_applied,
                                    it.what()});
        }
    }

    void on_snapshot(const read_result& snapshot)
    {
        if (snapshot.found) {
            reading_.content = parse_configuration(snapshot.found->data);
            reading_.snapshot_revision = reading_.content->revision;
            reading_.snapshot_index = snapshot.found->index;
        }
        list_next_block();
    }

    void list_next_block()
    {
        const boost::intrusive_ptr<replay> self(this);
        listed_prefix_ = keys::change_block(reading_.content->revision.next());
        store_->list(listed_prefix_,
                     [self](const platform_result<std::vector<stored_value>>& result) {
                         self->continue_with(result, &replay::on_block);
                     });
    }

    void on_block(const std::vector<stored_value>& block)
    {
        for (const stored_value& it : block) {
            const change_record record = decode_change_record(it.data);
            if (record->revision <= reading_.content->revision) {
                continue;
            }
            reading_.content = apply_change(reading_.content, record);
            reading_.last_change = record;
        }
        if (keys::change_block(reading_.content->revision.next()) != listed_prefix_) {
            list_next_block();
            return;
        }
        reply_(reading_);
    }

    key_value_store* store_;
    platform_reply<configuration_reading> reply_;
    configuration_reading reading_;
    std::string listed_prefix_;
};

} // namespace

configuration apply_change(const configuration& base, const change_record& record)
{
    if (record->revision != base->revision.next()) {
        throw configuration_error(error_id::invalid_configuration, "/revision",
                                  "the change record is not for the revision after the base");
    }
    return apply_intent(base, record->intent.json(), record->revision);
}

void read_configuration(key_value_store& store, platform_reply<configuration_reading> reply)
{
    const boost::intrusive_ptr<replay> read_operation(new replay(store, std::move(reply)));
    read_operation->start();
}

} // namespace papayafall
