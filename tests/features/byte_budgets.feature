Feature: What clients make a process hold is counted in one budget
  Without a network; hypothesis draws the histories.

  # Guards against: the memory that bodies took was not counted before they had been read whole.
  Scenario: Histories of holders
    Then in any history, the budget holds what its holders do, and no more than its total

  # Guards against: large bodies took all memory, so that small requests were refused as well.
  Scenario: The reserve for small requests
    Then in any history, a small request of another workspace finds room beside large ones

  # Guards against: one workspace held all memory, so that others were refused.
  Scenario: The limit of a workspace
    Then in any history, one workspace among several holds no more than its part with large bodies

  Scenario: A request without any other
    Then any request that fits the budget finds room if nothing else is held

  # Guards against: clients that had stalled kept what others needed.
  Scenario: Clients that have stalled
    Then of any clients, the one without progress for longest gives way, and none that moves

  # Guards against: sizes such as "+5" and "0x5" were read as sizes, and each chunk of one byte took a call.
  Scenario: Chunks in any pieces
    Then any chunks in any pieces are decoded as they were written
    And any chunks that are spoilt in one byte are refused, or hold what a strict reader reads

  # Guards against: a few large requests took the event loop for themselves.
  Scenario: The time for large requests
    Then any sequence of reading leaves the loop as much time for others
