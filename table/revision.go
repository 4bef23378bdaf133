package table

// eraShift leaves 32 bits for the revisions within an era of the table service.
const eraShift = 32

// FirstRevision returns the revision before the first one of an era of the table
// service. Revisions of a later era are higher than all of an earlier one, so that
// a revision is not given out twice after the service was restored from a copy.
func FirstRevision(era uint64) uint64 { return era << eraShift }

// RevisionEra returns the era of the table service that a revision was written in.
func RevisionEra(revision uint64) uint64 { return revision >> eraShift }

// RevisionInEra returns the number of a revision without its era.
func RevisionInEra(revision uint64) uint64 { return revision & (1<<eraShift - 1) }
