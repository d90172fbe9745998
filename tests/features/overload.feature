Feature: Refusals in an overload are correct, are logged in full, and spread callers' retries

  Scenario: Every log line counts as one, however many wait to be written
    When a process logs 3900 lines before its log is read
    Then 3900 whole lines arrive

  Scenario: Lines that a log drops are reported in the log itself
    When a process logs 5000 lines before its log is read
    Then 4001 whole lines arrive
    And the loss report names a log that dropped 1000 lines

  # Guards against: an overload dropped the lines that show which configuration and which level
  # applied, so that an incident could not be explained.
  Scenario: Lines about beliefs are kept in an overload, and are bounded too
    When a process logs 5000 lines, then 1200 that are kept, before its log is read
    Then 1000 of the kept lines arrive

  Scenario: Refusals that are too many for a log line each are logged in sums
    When a process refuses 500 requests of one kind and 10 of another in a second
    Then at most 35 lines are logged for them
    And the losses count 510 refused requests, 480 of them in sums
    And the story of a request that a sum names contains that sum

  @nodes.2
  Scenario: Losses agree with the counters of a router that refuses many
    When "a-stranger" sends 120 requests at once to router 1
    Then the losses agree with the counters of router 1 within 1 part in 100

  Scenario Outline: Refused callers are asked to wait for times that spread their retries
    When <callers> callers with 6 s left are refused at once at <rate> a second
    Then each is asked to wait between 0.2 and 2 s
    And in no tenth of a second over <most> return

    Examples:
      | callers | rate | most |
      | 20      | 100  | 6    |
      | 80      | 100  | 6    |
      | 2000    | 100  | 250  |
