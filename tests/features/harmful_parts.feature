Feature: A part of prompts under which backend servers end is quarantined
  # Guards against: requests that shared one part of their prompts, and nothing else, ended one engine
  # after another: 12 in one day, 7 of them after five had ended. The quarantine identified whole
  # requests only, so that each of them was a new one, and it held sound requests that had run beside
  # them.

  @nodes.3.versions
  Scenario Outline: Requests with a part that ends engines stop reaching them, sound ones go on
    Given the part "bad" of a prompt ends each engine that begins to write an answer on it
    When requests with the parts "<parts>" come every <interval> s for <seconds> s beside sound ones
    Then at most 3 of them reach engines that were sent later than 3 s after the fifth end
    And sound requests are answered at least half as often as before, with the same first part too

    Examples:
      | parts        | interval | seconds |
      | common,bad   | 0.5      | 16      |
      | bad,common   | 0.5      | 16      |
      | common,bad,x | 1.6      | 24      |
