// Another road for the listings that a new owner of a part waits for: while the controllers refuse
// each other's calls, each holder of shares writes what it would list into the state service, and
// the new owner reads it there. Without it an older task would wait beside idle slots until calls
// go through again. See "While peers refuse calls" in docs/shares.md.
#pragma once

#include "core/borrowing.h"
#include "core/lending.h"

namespace orchidlanding {

class Postbox {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        // Older tasks wait for listings of others.
        virtual bool awaits_listings() const = 0;
        // A listing has been taken in: what waited for it may be placed.
        virtual void resume(Time now) = 0;
    };
    Postbox(Claim& claim, const Facts& facts, const PartTable& table, Lending& lending,
            Borrowing& borrowing, Calls& calls, Part& owner);

    void tick(Time now);

  private:
    struct Posting { // for the owner of one part
        std::uint64_t term = 0;
        Time since = 0; // when its claim was seen first
        std::vector<AccountRecord> pages;
        std::size_t written = 0;
        bool done = false;
    };
    static std::string key(int part, int holder, std::size_t page);
    void post(Time now);
    bool write(Time now, int part, Posting& posting);
    std::vector<AccountRecord> cut(const ExchangeReply& reply, std::uint64_t for_term) const;
    void read(Time now);
    void take(Time now, const std::vector<KeyedRecord>& items);
    void clear(Time now);

    Claim& claim_;
    const Facts& facts_;
    const PartTable& table_;
    Lending& lending_;
    Borrowing& borrowing_;
    Calls& calls_;
    Part& owner_;
    std::map<int, Posting> postings_;
    bool writing_ = false;
    bool reading_ = false;
    Time next_read_ = 0;
    std::map<int, std::uint64_t> taken_; // by holder: the version
    std::vector<std::string> read_;      // keys that are of no use once we have settled
};

} // namespace orchidlanding
